#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/EndpointNews.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lagoonward;

namespace {

constexpr std::string_view kKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr Seconds kPatience{ 20 };

/// The text of a record is the endpoint's state.
Result<Endpoint>
Decode(const EndpointRecord& aRecord)
{
  if (aRecord.text.empty()) {
    return Error(ErrorKind::InvalidRequest, "empty");
  }
  Endpoint endpoint;
  endpoint.id = aRecord.id;
  endpoint.name = "s";
  endpoint.state = aRecord.text == "leaving" ? EndpointState::Leaving : EndpointState::Live;
  return endpoint;
}

/// One daemon with its picture of the endpoints.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex, std::string aDomain)
    : membership(aClock, Identity(aIndex, aDomain), KeyRing::Parse(kKey, "test").value(), {},
                 [](const HostEntry&, const MembershipService::PollDone&) {})
    , news(
        {}, membership, "daemon-" + std::to_string(aIndex), aDomain, &Decode,
        [this] { ++this->changes; }, aClock)
  {
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
    this->Do([this] { this->news.Start(); });
  }

  ~Daemon() { this->membership.Stop(); }

  static MembershipIdentity Identity(int aIndex, const std::string& aDomain)
  {
    MembershipIdentity identity;
    identity.self = { "daemon-" + std::to_string(aIndex), "127.0.0.1", 0, aDomain, "region" };
    identity.session = static_cast<std::uint64_t>(aIndex) + 1;
    return identity;
  }

  template<typename Action>
  void Do(Action aAction)
  {
    this->membership.Loop().Run(aAction);
  }

  [[nodiscard]] std::optional<EndpointState> StateOf(std::string_view aId)
  {
    std::optional<EndpointState> state;
    this->Do([&] {
      const FleetSnapshotPtr fleet = this->news.Snapshot();
      const Endpoint* endpoint = fleet->Find(aId);
      if (endpoint != nullptr) {
        state = endpoint->state;
      }
    });
    return state;
  }

  std::atomic<int> changes{ 0 };
  MembershipService membership;
  EndpointNews news;
};

/// Four daemons of one failure domain and one of another.
struct Fleet
{
  Fleet()
  {
    std::vector<HostEntry> hosts;
    for (int index = 0; index < 5; ++index) {
      const std::string domain = index < 4 ? "a" : "b";
      this->daemons.push_back(std::make_unique<Daemon>(this->clock, index, domain));
      HostEntry host;
      host.id = "daemon-" + std::to_string(index);
      host.kind = HostEntry::Kind::Daemon;
      host.address = "127.0.0.1";
      host.port = this->daemons.back()->membership.Transport().Port();
      host.failureDomain = domain;
      host.region = "region";
      hosts.push_back(host);
    }
    for (const auto& daemon : this->daemons) {
      daemon->membership.ApplyHostList(hosts);
    }
    BOOST_TEST(this->Eventually([this] { return this->Readers().size() == 2; }));
  }

  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    constexpr Milliseconds kStep{ 10 };
    for (Milliseconds waited{ 0 }; waited < kPatience; waited += kStep) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kStep);
    }
    return false;
  }

  /// Daemons of the first failure domain that read often, or the others of it.
  std::vector<Daemon*> Readers(bool aReads = true)
  {
    std::vector<Daemon*> found;
    for (int index = 0; index < 4; ++index) {
      Daemon* daemon = this->daemons[static_cast<std::size_t>(index)].get();
      if (daemon->news.IsReader() == aReads) {
        found.push_back(daemon);
      }
    }
    return found;
  }

  SystemClock clock;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

void
Tell(Daemon& aDaemon, const EndpointRecord& aRecord)
{
  aDaemon.Do([&] {
    aDaemon.news.OnRecord(aRecord);
    aDaemon.news.OnRead();
  });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointNewsTests, Fleet)

BOOST_AUTO_TEST_CASE(WhatAReaderReadsIsKnownInItsFailureDomain)
{
  Tell(*this->Readers().front(), { "e1", "live", 5, false });
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
    BOOST_TEST((daemon->news.Pace() == EndpointNewsSettings{}.listenerPace));
  }
  BOOST_TEST(!this->daemons[4]->StateOf("e1").has_value());

  Tell(*this->Readers().front(), { "e1", "leaving", 6, false });
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

BOOST_AUTO_TEST_CASE(ADaemonThatHearsOfNoReadReadsByItself)
{
  Tell(*this->Readers().front(), { "e1", "live", 5, false });
  Daemon& listener = *this->Readers(false).front();
  const EndpointNewsSettings settings;
  BOOST_TEST(this->Eventually([&] { return listener.news.Pace() == settings.listenerPace; }));
  BOOST_TEST(this->Eventually([&] { return listener.news.Pace() <= settings.ownPaceLimit; }));
}

BOOST_AUTO_TEST_CASE(AnOlderRecordChangesNothing)
{
  Daemon& daemon = *this->daemons[4];
  Tell(daemon, { "e1", "live", 5, false });
  Tell(daemon, { "e1", "", 7, true });
  const int before = daemon.changes;
  Tell(daemon, { "e1", "live", 6, false });
  BOOST_TEST(daemon.changes == before);
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Leaving));

  // A whole picture that was read before the newest news came takes nothing back
  Tell(daemon, { "e2", "live", 9, false });
  daemon.Do([&] { daemon.news.OnWhole({ { "e3", "live", 8, false } }, 9); });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Live));
  BOOST_TEST((daemon.StateOf("e3") == EndpointState::Live));
  daemon.Do([&] { daemon.news.OnWhole({ { "e3", "live", 8, false } }, 10); });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(AMalformedRecordIsLeftOut)
{
  Daemon& daemon = *this->daemons[4];
  Tell(daemon, { "e1", "", 5, false });
  BOOST_TEST(!daemon.StateOf("e1").has_value());
  BOOST_TEST(daemon.changes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
