#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/PeerTable.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>
#include <set>

using namespace lagoonward;

namespace {

constexpr std::size_t kByteBudget = 1000;
constexpr Milliseconds kTick{ 100 };

/// Several peer tables that exchange probes without delay, over links that a test can cut.
class Network
{
public:
  explicit Network(std::vector<PeerInfo> aDaemons)
    : infos(std::move(aDaemons))
  {
    for (const PeerInfo& info : this->infos) {
      this->hosts.push_back({ info.id, HostEntry::Kind::Daemon, info.address, info.port,
                              info.failureDomain, info.region, "small", "", false });
    }
    for (const PeerInfo& info : this->infos) {
      this->Restart(info.id, 1);
    }
  }

  void Restart(const std::string& aId, std::uint64_t aIncarnation)
  {
    for (const PeerInfo& info : this->infos) {
      if (info.id == aId) {
        auto table =
          std::make_unique<PeerTable>(this->clock, info, aIncarnation, PeerTableSettings());
        table->ApplyHostList(this->hosts);
        this->tables[info.Key()] = std::move(table);
      }
    }
    this->stopped.erase(ToPeerKey(aId));
  }

  void Stop(const std::string& aId) { this->stopped.insert(ToPeerKey(aId)); }

  void Run(Milliseconds aSpan)
  {
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += kTick) {
      this->clock.Advance(kTick);
      for (auto& [key, table] : this->tables) {
        if (!this->stopped.contains(key)) {
          for (const ScheduledProbe& order : table->Tick()) {
            this->Probe(key, order);
          }
        }
      }
    }
  }

  PeerTable& Table(const std::string& aId) { return *this->tables.at(ToPeerKey(aId)); }

  PeerState StateOf(const std::string& aSubject, const std::string& aViewer)
  {
    const Peer* const peer = this->Table(aViewer).Find(ToPeerKey(aSubject));
    return peer == nullptr ? PeerState::Dead : peer->state;
  }

  VirtualClock clock;
  std::function<bool(PeerKey aFrom, PeerKey aTo)> isPartitioned = [](PeerKey, PeerKey) {
    return false;
  };
  std::vector<HostEntry> hosts;

private:
  bool Deliver(PeerKey aFrom, PeerKey aTo)
  {
    if (this->stopped.contains(aTo) || this->isPartitioned(aFrom, aTo) ||
        !this->tables.contains(aTo)) {
      return false;
    }
    PeerTable& from = *this->tables.at(aFrom);
    PeerTable& to = *this->tables.at(aTo);
    for (const PeerChange& change : from.TakeChanges(aTo, kByteBudget)) {
      to.Apply(change);
    }
    to.OnContact(aFrom, from.Incarnation(), from.OwnState());
    return true;
  }

  bool PingAndAck(PeerKey aFrom, PeerKey aTo)
  {
    return this->Deliver(aFrom, aTo) && this->Deliver(aTo, aFrom);
  }

  void Probe(PeerKey aFrom, const ScheduledProbe& aOrder)
  {
    if (aOrder.kind == DatagramKind::Ping) {
      this->PingAndAck(aFrom, aOrder.to);
    } else if (this->PingAndAck(aFrom, aOrder.to) && this->PingAndAck(aOrder.to, aOrder.subject)) {
      this->tables.at(aFrom)->OnIndirectAck(aOrder.subject);
    }
  }

  std::vector<PeerInfo> infos;
  std::map<PeerKey, std::unique_ptr<PeerTable>> tables;
  std::set<PeerKey> stopped;
};

std::string
DaemonId(std::size_t aIndex)
{
  return "daemon-" + std::to_string(aIndex);
}

std::vector<PeerInfo>
MakeDaemons(std::size_t aCount, std::size_t aRegions = 1)
{
  std::vector<PeerInfo> daemons;
  for (std::size_t index = 0; index < aCount; ++index) {
    daemons.push_back({ DaemonId(index), "127.0.0.1", static_cast<std::uint16_t>(4000 + index),
                        "domain-" + std::to_string(index % 2),
                        "region-" + std::to_string(index % aRegions) });
  }
  return daemons;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTableTests)

BOOST_AUTO_TEST_CASE(StoppedDaemonIsSuspectedBeforeAllDaemonsRemoveIt)
{
  Network network(MakeDaemons(12));
  network.Run(Seconds(5));
  network.Stop(DaemonId(3));
  bool wasSuspected = false;
  for (int step = 0; step < 100; ++step) {
    network.Run(kTick);
    const PeerState state = network.StateOf(DaemonId(3), DaemonId(0));
    wasSuspected |= state == PeerState::Suspect;
    BOOST_TEST((state != PeerState::Dead || wasSuspected));
  }
  for (std::size_t viewer = 0; viewer < 12; ++viewer) {
    for (std::size_t subject = 0; subject < 12; ++subject) {
      const bool isDead = network.StateOf(DaemonId(subject), DaemonId(viewer)) == PeerState::Dead;
      BOOST_TEST((viewer == 3 || subject == viewer || isDead == (subject == 3)));
    }
  }
}

BOOST_AUTO_TEST_CASE(RestartedDaemonRejoinsWithAHigherIncarnation)
{
  Network network(MakeDaemons(6));
  network.Run(Seconds(3));
  network.Stop(DaemonId(3));
  network.Run(Seconds(12));
  BOOST_TEST((network.StateOf(DaemonId(3), DaemonId(0)) == PeerState::Dead));
  network.Restart(DaemonId(3), 2);
  network.Run(Seconds(5));
  for (const std::size_t viewer : { 0U, 1U, 2U, 4U, 5U }) {
    BOOST_TEST((network.StateOf(DaemonId(3), DaemonId(viewer)) == PeerState::Alive));
  }
}

BOOST_AUTO_TEST_CASE(BrokenLinkBetweenTwoDaemonsRemovesNeither)
{
  Network network(MakeDaemons(8));
  network.Run(Seconds(3));
  const PeerKey one = ToPeerKey(DaemonId(1));
  const PeerKey two = ToPeerKey(DaemonId(2));
  network.isPartitioned = [=](PeerKey aFrom, PeerKey aTo) {
    return (aFrom == one && aTo == two) || (aFrom == two && aTo == one);
  };
  for (int step = 0; step < 300; ++step) {
    network.Run(kTick);
    BOOST_TEST((network.StateOf(DaemonId(2), DaemonId(1)) != PeerState::Dead));
    BOOST_TEST((network.StateOf(DaemonId(1), DaemonId(2)) != PeerState::Dead));
  }
}

BOOST_AUTO_TEST_CASE(DatagramLossRemovesNoDaemon)
{
  Network network(MakeDaemons(12));
  std::mt19937 random(1);
  network.isPartitioned = [&](PeerKey, PeerKey) {
    return std::uniform_real_distribution<>(0, 1)(random) < 0.05;
  };
  for (int step = 0; step < 600; ++step) {
    network.Run(Seconds(1));
    for (std::size_t subject = 1; subject < 12; ++subject) {
      BOOST_TEST((network.StateOf(DaemonId(subject), DaemonId(0)) != PeerState::Dead));
    }
  }
}

BOOST_AUTO_TEST_CASE(PartitionedRegionsRemoveNoDaemonAndReportUnreachableRegions)
{
  Network network(MakeDaemons(12, 3));
  network.Run(Seconds(3));
  std::map<PeerKey, std::size_t> regionOf;
  for (std::size_t index = 0; index < 12; ++index) {
    regionOf[ToPeerKey(DaemonId(index))] = index % 3;
  }
  network.isPartitioned = [&](PeerKey aFrom, PeerKey aTo) {
    return (regionOf[aFrom] == 0) != (regionOf[aTo] == 0);
  };
  network.Run(Seconds(180));
  for (std::size_t subject = 1; subject < 12; ++subject) {
    BOOST_TEST((network.StateOf(DaemonId(subject), DaemonId(0)) == PeerState::Alive));
  }
  const auto view = network.Table(DaemonId(0)).TakeView();
  BOOST_TEST_REQUIRE(view != nullptr);
  BOOST_TEST(view->unreachableRegions.size() == 2U);

  // The partition heals
  network.isPartitioned = [](PeerKey, PeerKey) { return false; };
  network.Run(Seconds(10));
  const auto healed = network.Table(DaemonId(0)).TakeView();
  BOOST_TEST_REQUIRE(healed != nullptr);
  BOOST_TEST(healed->unreachableRegions.empty());
}

BOOST_AUTO_TEST_CASE(IsolatedDaemonRemovesNoneAndRejoins)
{
  Network network(MakeDaemons(8));
  network.Run(Seconds(3));
  const PeerKey isolated = ToPeerKey(DaemonId(0));
  network.isPartitioned = [=](PeerKey aFrom, PeerKey aTo) {
    return aFrom == isolated || aTo == isolated;
  };
  network.Run(Seconds(30));
  for (std::size_t subject = 1; subject < 8; ++subject) {
    BOOST_TEST((network.StateOf(DaemonId(subject), DaemonId(0)) != PeerState::Dead));
  }
  BOOST_TEST((network.StateOf(DaemonId(0), DaemonId(1)) == PeerState::Dead));

  // The isolated daemon rejoins, although the others have removed it
  network.isPartitioned = [](PeerKey, PeerKey) { return false; };
  network.Run(Seconds(15));
  for (std::size_t subject = 1; subject < 8; ++subject) {
    BOOST_TEST((network.StateOf(DaemonId(subject), DaemonId(0)) == PeerState::Alive));
    BOOST_TEST((network.StateOf(DaemonId(0), DaemonId(subject)) == PeerState::Alive));
  }
}

BOOST_AUTO_TEST_CASE(HalvesOfAPartitionedRegionMergeAfterHealing)
{
  Network network(MakeDaemons(10));
  network.Run(Seconds(3));
  std::set<PeerKey> left;
  for (std::size_t index = 0; index < 5; ++index) {
    left.insert(ToPeerKey(DaemonId(index)));
  }
  network.isPartitioned = [&](PeerKey aFrom, PeerKey aTo) {
    return left.contains(aFrom) != left.contains(aTo);
  };
  network.Run(Seconds(30));
  BOOST_TEST((network.StateOf(DaemonId(9), DaemonId(0)) == PeerState::Dead));
  network.isPartitioned = [](PeerKey, PeerKey) { return false; };
  network.Run(Seconds(60));
  for (std::size_t viewer = 0; viewer < 10; ++viewer) {
    for (std::size_t subject = 0; subject < 10; ++subject) {
      const PeerState state = network.StateOf(DaemonId(subject), DaemonId(viewer));
      BOOST_TEST((viewer == subject || state == PeerState::Alive));
    }
  }
}

BOOST_AUTO_TEST_CASE(PausedDaemonSuspectsNoDaemonWhenItResumes)
{
  Network network(MakeDaemons(6));
  network.Run(Seconds(3));
  network.Stop(DaemonId(0));
  network.Run(Seconds(1));
  PeerTable& table = network.Table(DaemonId(0));
  network.clock.Advance(Seconds(60));
  std::ignore = table.Tick();
  table.OnContact(ToPeerKey(DaemonId(1)));
  network.clock.Advance(Milliseconds(100));
  std::ignore = table.Tick();
  for (std::size_t subject = 1; subject < 6; ++subject) {
    BOOST_TEST((network.StateOf(DaemonId(subject), DaemonId(0)) == PeerState::Alive));
  }
}

BOOST_AUTO_TEST_CASE(LeavingReachesAllDaemonsAndIsNotRevertedByStaleUpdates)
{
  Network network(MakeDaemons(9));
  network.Run(Seconds(3));
  network.Table(DaemonId(4)).Leave();
  network.Run(Seconds(4));
  for (const std::size_t viewer : { 0U, 1U, 2U, 3U, 5U, 6U, 7U, 8U }) {
    BOOST_TEST((network.StateOf(DaemonId(4), DaemonId(viewer)) == PeerState::Leaving));
  }
  network.Table(DaemonId(0)).Apply({ ToPeerKey(DaemonId(4)), PeerState::Alive, 1, std::nullopt });
  BOOST_TEST((network.StateOf(DaemonId(4), DaemonId(0)) == PeerState::Leaving));
}

BOOST_AUTO_TEST_CASE(UnlistedDaemonIsAddedOnlyFromAChangeWithMatchingInfo)
{
  VirtualClock clock;
  PeerTable table(clock, MakeDaemons(1).front(), 1, PeerTableSettings());
  const PeerInfo unlisted{ "daemon-new", "127.0.0.1", 5000, "domain-0", "region-0" };
  table.Apply({ unlisted.Key(), PeerState::Alive, 3, std::nullopt });
  BOOST_TEST((table.Find(unlisted.Key()) == nullptr));
  table.Apply({ unlisted.Key() + 1, PeerState::Alive, 3, unlisted });
  BOOST_TEST((table.Find(unlisted.Key() + 1) == nullptr));
  table.Apply({ unlisted.Key(), PeerState::Alive, 3, unlisted });
  BOOST_TEST_REQUIRE((table.Find(unlisted.Key()) != nullptr));
  BOOST_TEST(table.Find(unlisted.Key())->info.port == 5000);
}

BOOST_AUTO_TEST_CASE(ChangesOfOneDatagramStayWithinTheByteBudget)
{
  VirtualClock clock;
  PeerTable table(clock, MakeDaemons(1).front(), 1, PeerTableSettings());
  for (std::size_t index = 1; index < 60; ++index) {
    const PeerInfo info = MakeDaemons(index + 1).back();
    table.Apply({ info.Key(), PeerState::Alive, 1, info });
  }
  for (int round = 0; round < 100; ++round) {
    std::size_t bytes = 0;
    for (const PeerChange& change : table.TakeChanges(0, kByteBudget)) {
      bytes += EncodeMessage(change).size() - 1;
    }
    BOOST_TEST(bytes <= kByteBudget);
  }
}

BOOST_AUTO_TEST_CASE(LaterHostListSetsTheFailureDomainOfASeedDaemon)
{
  VirtualClock clock;
  const std::vector<PeerInfo> daemons = MakeDaemons(2);
  PeerTable table(clock, daemons.front(), 1, PeerTableSettings());
  HostEntry seed;
  seed.kind = HostEntry::Kind::Daemon;
  seed.id = daemons.back().id;
  seed.address = daemons.back().address;
  seed.port = daemons.back().port;
  seed.region = daemons.back().region;
  table.ApplyHostList({ &seed, 1 });
  BOOST_TEST(table.Find(daemons.back().Key())->info.failureDomain.empty());
  seed.failureDomain = "a";
  table.ApplyHostList({ &seed, 1 });
  BOOST_TEST(table.Find(daemons.back().Key())->info.failureDomain == "a");
}

BOOST_AUTO_TEST_SUITE_END()
