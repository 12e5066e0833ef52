#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;

namespace {

constexpr std::string_view kKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr Seconds kTimeout{ 20 };

/// Four daemons and two endpoints on loopback.
struct Fleet
{
  Fleet()
  {
    for (std::size_t index = 0; index < 4; ++index) {
      this->Add(index);
    }
    this->ShareHosts();
  }

  void Add(std::size_t aIndex)
  {
    MembershipIdentity identity;
    identity.self = { "daemon-" + std::to_string(aIndex), "127.0.0.1", 0,
                      "domain-" + std::to_string(aIndex % 2), "region" };
    identity.session = aIndex + 1;
    this->daemons.push_back(std::make_unique<MembershipService>(
      this->clock, identity, KeyRing::Parse(kKey, "test").value(), MembershipSettings(),
      [this](const HostEntry&, const MembershipService::PollDone& aDone) {
        EndpointLoad load;
        load.running = 3;
        load.models = { { "permit-model", "3", {} } };
        load.asOf = this->clock.WallNow();
        aDone(load);
      }));
    BOOST_TEST_REQUIRE(this->daemons.back()->Start().has_value());
    this->hosts.push_back({ identity.self.id, HostEntry::Kind::Daemon, "127.0.0.1",
                            this->daemons.back()->Transport().Port(), identity.self.failureDomain,
                            "region", "small", "", false });
  }

  void ShareHosts()
  {
    auto all = this->hosts;
    all.push_back({ "engine-0", HostEntry::Kind::Engine, "127.0.0.1", 1, "domain-0", "region",
                    "large", "", false });
    for (const auto& daemon : this->daemons) {
      daemon->ApplyHostList(all);
    }
  }

  /// Waits until every daemon satisfies the condition, evaluated on its control thread.
  template<typename Condition>
  bool AllEventually(Condition aCondition)
  {
    constexpr Milliseconds kStep{ 10 };
    for (Milliseconds waited{ 0 }; waited < kTimeout; waited += kStep) {
      bool all = true;
      for (const auto& daemon : this->daemons) {
        daemon->Loop().Run([&] { all = all && aCondition(*daemon); });
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(kStep);
    }
    return false;
  }

  SystemClock clock;
  std::vector<HostEntry> hosts;
  std::vector<std::unique_ptr<MembershipService>> daemons;
};

/// Text of the size and shape of a configuration with many routes; only its first line depends on the version.
std::string
LargeState(int aRoutes, int aVersion)
{
  std::string text = "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[\n";
  for (int index = 0; index < aRoutes; ++index) {
    const std::uint64_t random = HashBytes(std::to_string(index));
    text += "{\"name\":\"r-" + std::to_string(random % 10'000'000) +
            "\",\"host\":\"service.example\",\"prefix\":\"/" + std::to_string(random) +
            "/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"goal_ms\":300,\"priority\":2,"
            "\"service\":\"portal\",\"attempts\":2,\"resumable\":false,\"anonymous\":true},\n";
  }
  return text + "]}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipServiceTests, Fleet)

BOOST_AUTO_TEST_CASE(LoadsAndLeavingStatesReachEveryDaemon)
{
  BOOST_TEST(this->AllEventually([](const MembershipService& aDaemon) {
    const auto& facts = aDaemon.Loads().Facts();
    const auto fact = facts.find(ToEndpointKey("engine-0"));
    const auto load = fact == facts.end() ? std::nullopt : aDaemon.Loads().LoadOf(fact->second);
    return load && load->running == 3 && load->models.at(0).name == "permit-model";
  }));
  this->daemons[2]->ReportEndpoint("engine-0", EndpointState::Leaving, Seconds(30));
  BOOST_TEST(this->AllEventually([](const MembershipService& aDaemon) {
    return aDaemon.Loads().Facts().at(ToEndpointKey("engine-0")).state == EndpointState::Leaving;
  }));
}

BOOST_AUTO_TEST_CASE(NewDaemonAdoptsTheLatestSharedStateFromItsPeers)
{
  std::atomic<std::int64_t> adopted{ -1 };
  this->daemons[0]->PublishState({ "config/market", 41, "forty-one" });
  this->daemons[0]->PublishState({ "config/market", 42, "forty-two" });
  this->Add(4);
  this->daemons[4]->Loop().Run([&] {
    this->daemons[4]->OnState([&](const SharedState& aState) {
      BOOST_TEST(aState.version > adopted);
      adopted = aState.version;
      return aState.bytes == "forty-two";
    });
  });
  this->ShareHosts();
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return adopted == 42; }));
}

BOOST_AUTO_TEST_CASE(SharedStateIsFetchedOnlyByDaemonsThatDidNotReadIt)
{
  std::atomic<int> fetched{ 0 };
  for (const auto& daemon : this->daemons) {
    daemon->Loop().Run([&] {
      daemon->OnState([&](const SharedState&) {
        ++fetched;
        return true;
      });
    });
  }
  BOOST_TEST(this->AllEventually(
    [](const MembershipService& aDaemon) { return aDaemon.Peers()->peers.size() == 3; }));
  // All daemons but one publish the state before the announcement delay ends; that one fetches it from a peer
  for (std::size_t index = 0; index < 3; ++index) {
    this->daemons[index]->PublishState({ "config/market", 42, "forty-two" }, Milliseconds(300));
  }
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return fetched == 1; }));
  std::this_thread::sleep_for(Milliseconds(300));
  BOOST_TEST(fetched == 1);
}

// Guards against versions of a large state that each cost every daemon the whole state on its link
BOOST_AUTO_TEST_CASE(VersionOfALargeStateCostsALinkWhatItChanges)
{
  constexpr std::uint64_t kMaximumBytes = 15'000;
  const auto hasVersion = [](MembershipService& aDaemon, std::atomic<std::int64_t>& aVersion) {
    aDaemon.OnState([&aVersion](const SharedState& aState) {
      aVersion = aState.version;
      return true;
    });
  };
  std::atomic<std::int64_t> received{ -1 };
  this->daemons[3]->Loop().Run([&] { hasVersion(*this->daemons[3], received); });
  const auto receivedBytes = [&] {
    std::uint64_t bytes = 0;
    this->daemons[3]->Loop().Run([&] { bytes = this->daemons[3]->Counters().streamBytesReceived; });
    return bytes;
  };
  this->daemons[0]->PublishState({ "config/market", 1, LargeState(1'400, 1) });
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return received == 1; }));
  const std::uint64_t before = receivedBytes();
  this->daemons[0]->PublishState({ "config/market", 2, LargeState(1'400, 2) });
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return received == 2; }));
  BOOST_TEST(receivedBytes() - before <= kMaximumBytes);
}

// Guards against states that never arrive, as they exceed the largest message between daemons
BOOST_AUTO_TEST_CASE(StateLargerThanAMessageArrives)
{
  std::atomic<std::int64_t> received{ -1 };
  this->daemons[3]->Loop().Run([&] {
    this->daemons[3]->OnState([&](const SharedState& aState) {
      BOOST_TEST(aState.bytes == LargeState(12'000, 1));
      received = aState.version;
      return true;
    });
  });
  this->daemons[0]->PublishState({ "config/market", 1, LargeState(12'000, 1) });
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return received == 1; }));
}

// Guards against a daemon that has another content under an earlier version number and would apply a difference to it
BOOST_AUTO_TEST_CASE(DaemonWithAnotherContentUnderTheSameVersionReceivesTheWholeState)
{
  std::atomic<bool> hasLatest{ false };
  this->daemons[3]->PublishState({ "config/market", 1, "another content" });
  this->daemons[3]->Loop().Run([&] {
    this->daemons[3]->OnState([&](const SharedState& aState) {
      hasLatest = aState.version == 2 && aState.bytes == LargeState(100, 2);
      return true;
    });
  });
  this->daemons[0]->PublishState({ "config/market", 1, LargeState(100, 1) });
  this->daemons[0]->PublishState({ "config/market", 2, LargeState(100, 2) });
  BOOST_TEST(this->AllEventually([&](const MembershipService&) { return hasLatest.load(); }));
}

BOOST_AUTO_TEST_CASE(SoftRecordIsFoundThroughAnyDaemonAfterItsServerStopped)
{
  BOOST_TEST(this->AllEventually(
    [](const MembershipService& aDaemon) { return aDaemon.Peers()->peers.size() == 3; }));
  SoftRecord record;
  record.keyHash = 12345;
  record.streamId = "stream-1";
  record.expiresIn = 60000;
  this->daemons[0]->PlaceRecord(record);
  BOOST_TEST(this->AllEventually([&](MembershipService&) {
    std::size_t held = 0;
    for (std::size_t index = 1; index < 4; ++index) {
      this->daemons[index]->Loop().Run(
        [&] { held += this->daemons[index]->StoredRecords().Size(); });
    }
    return held == 1;
  }));
  this->daemons[0]->Stop();
  for (std::size_t index = 1; index < 4; ++index) {
    std::promise<std::optional<SoftRecord>> promise;
    auto found = promise.get_future();
    this->daemons[index]->FindRecord(
      12345, [&](const std::optional<SoftRecord>& aRecord) { promise.set_value(aRecord); });
    BOOST_TEST_REQUIRE((found.wait_for(kTimeout) == std::future_status::ready));
    const auto result = found.get();
    BOOST_TEST_REQUIRE(result.has_value());
    BOOST_TEST(result->streamId == "stream-1");
  }
}

BOOST_AUTO_TEST_CASE(HostListOfTheReadersReachesTheOtherDaemons)
{
  BOOST_TEST(this->AllEventually(
    [](const MembershipService& aDaemon) { return aDaemon.Peers()->peers.size() == 3; }));
  auto list = this->hosts;
  list.push_back({ "engine-new", HostEntry::Kind::Engine, "127.0.0.1", 1, "domain-0", "region",
                   "large", "", false });
  // If a list is read too soon after the last publication, it is published after a later read
  BOOST_TEST(this->AllEventually([&](const MembershipService& aDaemon) {
    std::size_t readers = 0;
    for (const auto& daemon : this->daemons) {
      if (daemon->IsHostListReader()) {
        ++readers;
        daemon->ApplyHostList(list);
      }
    }
    return readers == 2 && aDaemon.Loads().Facts().contains(ToEndpointKey("engine-new"));
  }));
}

BOOST_AUTO_TEST_CASE(DrainingDaemonIsSeenAsLeavingByItsPeers)
{
  this->daemons[1]->Drain();
  const PeerKey leaving = ToPeerKey("daemon-1");
  BOOST_TEST(this->AllEventually([&](const MembershipService& aDaemon) {
    const PeerViewPtr view = aDaemon.Peers();
    const Peer* const peer = view->Find(leaving);
    return &aDaemon == this->daemons[1].get() ||
           (peer != nullptr && peer->state == PeerState::Leaving);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
