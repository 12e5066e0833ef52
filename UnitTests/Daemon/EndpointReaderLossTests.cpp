#include "UnitTests/Daemon/EndpointReplicatorFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lagoonward;
using namespace lagoonward::replication_tests;

namespace {

/// A fleet whose daemons follow one source at the intervals that they ask for, unless they are cut off from it.
struct FollowingFleet : Fleet
{
  FollowingFleet()
  {
    this->lastReads.resize(this->daemons.size());
    this->Write("live");
    for (const auto& daemon : this->daemons) {
      daemon->CompleteFullRead(this->records, this->End());
    }
  }

  [[nodiscard]] LogPosition End() const
  {
    return LogPosition(static_cast<Offset>(this->records.size()));
  }

  /// The endpoint writes its state to the source.
  void Write(const std::string& aState) { this->records.push_back({ "e1", aState, this->End() }); }

  /// The daemon loses the source.
  void CutOff(Daemon& aDaemon)
  {
    this->cutOff.insert(&aDaemon);
    aDaemon.RunOnControlThread([&] { aDaemon.replicator.OnSourceReachability(false); });
  }

  /// Each daemon that reaches the source reads it if its interval has passed.
  void Follow()
  {
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
      Daemon& daemon = *this->daemons[index];
      const TimePoint now = this->clock.Now();
      if (this->cutOff.contains(&daemon) ||
          now - this->lastReads[index] < daemon.replicator.ReadInterval()) {
        continue;
      }
      this->lastReads[index] = now;
      daemon.RunOnControlThread([&] {
        for (const EndpointRecord& record : this->records) {
          daemon.replicator.OnRecord(record);
        }
        daemon.replicator.OnReadCompleted(this->clock.BootNow(), this->End());
      });
    }
  }

  void FollowFor(Milliseconds aSpan)
  {
    const TimePoint begun = this->clock.Now();
    while (this->clock.Now() - begun < aSpan) {
      this->Follow();
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  /// Number of daemons that take the endpoint for live.
  [[nodiscard]] std::size_t CountLive()
  {
    return static_cast<std::size_t>(
      std::count_if(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon->StateOf("e1") == EndpointState::Live;
      }));
  }

  /// The endpoint leaves.
  /// @return whether all daemons learn of it. In which time they must is checked by the soak of leavings
  [[nodiscard]] bool LeavesEverywhere()
  {
    this->Write("leaving");
    return this->Eventually([this] {
      this->Follow();
      return this->CountLive() == 0;
    });
  }

  std::vector<EndpointRecord> records;
  std::vector<TimePoint> lastReads; ///< By daemon.
  std::set<const Daemon*> cutOff;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointReaderLossTests, FollowingFleet)

// Guards against requests that reach endpoints for seconds after these have reported that they leave: the two daemons
// that read for all were alive and could not read, and what others read was passed on to their own group at most.
BOOST_AUTO_TEST_CASE(LeavingReachesAllDaemonsWhenBothReadersLoseTheSource)
{
  this->FollowFor(Milliseconds(300));
  for (const auto& daemon : this->daemons) {
    if (daemon->replicator.Rank() < 2) {
      this->CutOff(*daemon);
    }
  }
  BOOST_TEST(this->cutOff.size() == 2U);
  BOOST_TEST(this->LeavesEverywhere());
}

// Guards against the same where all aggregators have lost the source: a daemon that is no aggregator passed on nothing.
BOOST_AUTO_TEST_CASE(LeavingReachesAllDaemonsWhenAllAggregatorsLoseTheSource)
{
  this->FollowFor(Milliseconds(300));
  for (const auto& daemon : this->daemons) {
    if (daemon->replicator.IsAggregator()) {
      this->CutOff(*daemon);
    }
  }
  BOOST_TEST(this->cutOff.size() == 3U);
  BOOST_TEST(this->LeavesEverywhere());
}

// Guards against the same where the only daemon that knows of the leaving has just started: a daemon that receives no
// updates and has lost the source asked nobody.
BOOST_AUTO_TEST_CASE(DaemonsWithoutUpdatesAskPeersForChanges)
{
  for (const auto& daemon : this->daemons) {
    this->CutOff(*daemon);
  }
  Daemon& started = this->AddNonAggregator();
  this->Write("leaving");
  started.CompleteFullRead(this->records, this->End());
  BOOST_TEST(this->Eventually([this] { return this->CountLive() == 0U; }));
}

// Guards against the same on a busy machine: a query or its reply takes longer than the two snapshots differ in age, so the
// newer one is not shown to be younger.
BOOST_AUTO_TEST_CASE(PeersThatKnowMoreAnswerAlthoughTheirSnapshotsAreNotYounger)
{
  for (const auto& daemon : this->daemons) {
    this->CutOff(*daemon);
  }
  Daemon& started = this->AddNonAggregator();
  this->Write("leaving");
  started.RunOnControlThread([&] {
    started.replicator.OnFullRead(this->records, this->End());
    started.replicator.OnReadCompleted(this->clock.BootNow() - kWaitLimit, this->End());
  });
  BOOST_TEST(this->Eventually([this] { return this->CountLive() == 0U; }));
}

// Guards against a standby reader that reads at its staleness limit instead of the readers' interval, as each of its own
// reads made it take the silent primary reader for alive.
BOOST_AUTO_TEST_CASE(AggregatorKeepsReadingForAllWhileNoHigherRankSuppliesIt)
{
  this->FollowFor(Milliseconds(300));
  const auto standby =
    std::find_if(this->daemons.begin(), this->daemons.end(),
                 [](const auto& aDaemon) { return aDaemon->replicator.Rank() == 1; });
  BOOST_REQUIRE(standby != this->daemons.end());
  this->CutOff(this->PrimaryReader());
  this->FollowFor(2 * this->settings.reader.readerStalenessLimit);
  for (int read = 0; read < 3; ++read) {
    (*standby)->CompleteRead(this->End());
    BOOST_TEST(((*standby)->replicator.ReadInterval() == this->settings.readerInterval));
  }
}

BOOST_AUTO_TEST_SUITE_END()
