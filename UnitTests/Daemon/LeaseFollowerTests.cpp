#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/LeaseFollower.h"
#include "UnitTests/Support/FakeLogService.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Two daemons of one region that may lead.
struct Fixture
{
  VirtualClock clock;
  FleetManagerSettings settings;
  FakeLogService log;
  LeaseFollower first{ settings, "utslipp", "vestland", "d1", "run-1", log, clock };
  LeaseFollower second{ settings, "utslipp", "vestland", "d2", "run-2", log, clock };

  void Run(LeaseFollower& aFollower, int aRank, Seconds aSpan)
  {
    const TimePoint end = this->clock.Now() + aSpan;
    while (this->clock.Now() < end) {
      this->clock.Advance(std::max(aFollower.Step(aRank), Milliseconds(100)));
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaseFollowerTests, Fixture)

BOOST_AUTO_TEST_CASE(FirstCandidateLeadsAndAKilledLeaderIsSucceeded)
{
  Run(this->first, 0, Seconds(2));
  BOOST_TEST(this->first.Status().held);
  static_cast<void>(this->second.Step(1));
  BOOST_TEST(this->second.Status().holder == "d1");
  BOOST_TEST(!this->second.Status().held);
  const Offset fencing = this->first.Status().fencing;
  // The first is killed
  Run(this->second, 0, Seconds(15));
  BOOST_TEST(this->second.Status().held);
  BOOST_TEST(this->second.Status().fencing > fencing);
  BOOST_TEST(!this->first.Status().held);
}

BOOST_AUTO_TEST_CASE(LeaseIsLostInALogOutageAndRegainedAfterwards)
{
  this->log.FailAppends({ FakeLogService::Fault::AnswerLost });
  Run(this->first, 0, Seconds(2));
  BOOST_TEST(this->first.Status().held);
  this->log.SetDown(true);
  Run(this->first, 0, Seconds(12));
  BOOST_TEST(!this->first.Status().held);
  // After the lease has expired, only orders whose receiver checks fencing numbers are authorized
  BOOST_TEST(this->first.Authorize(OrderKind::Load, true).has_value());
  BOOST_TEST(!this->first.Authorize(OrderKind::Load, false).has_value());
  BOOST_TEST(!this->first.Authorize(OrderKind::StartHost, false).has_value());
  this->log.SetDown(false);
  Run(this->first, 0, Seconds(2));
  BOOST_TEST(this->first.Status().held);
}

BOOST_AUTO_TEST_CASE(ResignedLeaderIsSucceededWithinSeconds)
{
  Run(this->first, 0, Seconds(2));
  this->first.Resign();
  BOOST_TEST(!this->first.Status().held);
  Run(this->first, 0, Seconds(2));
  BOOST_TEST(this->first.Status().holder.empty());
  Run(this->second, 0, Seconds(5));
  BOOST_TEST(this->second.Status().held);
  Run(this->first, 0, Seconds(30));
  BOOST_TEST(!this->first.Status().held);
}

BOOST_AUTO_TEST_CASE(AbandonedTenureIsFollowedByANewerOne)
{
  Run(this->first, 0, Seconds(2));
  const Offset fencing = this->first.Status().fencing;
  this->first.Abandon(fencing + 1);
  BOOST_TEST(this->first.Status().held);
  this->first.Abandon(fencing);
  BOOST_TEST(!this->first.Authorize(OrderKind::Load, true).has_value());
  Run(this->first, 0, Seconds(8));
  BOOST_TEST(this->first.Status().held);
  BOOST_TEST(this->first.Status().fencing > fencing);
}

BOOST_AUTO_TEST_CASE(LeaderThatResignedWhileThisDaemonWasPausedIsRecorded)
{
  Run(this->first, 0, Seconds(2));
  const TimePoint before = this->first.OtherLeaderSeenAt();
  Run(this->second, 0, Seconds(15));
  BOOST_REQUIRE(this->second.Status().held);
  this->second.Resign();
  Run(this->second, 0, Seconds(1));
  // One step reads the other's whole tenure, after which no daemon leads
  static_cast<void>(this->first.Step(0));
  BOOST_TEST(this->first.Status().holder.empty());
  BOOST_TEST((this->first.OtherLeaderSeenAt() > before));
  BOOST_TEST((this->first.OtherLeaderSeenAt() == this->clock.BootNow()));
}

BOOST_AUTO_TEST_CASE(OtherLeaderIsRecordedForAsLongAsItLeads)
{
  Run(this->first, 0, Seconds(2));
  static_cast<void>(this->second.Step(1));
  this->clock.Advance(Seconds(5));
  static_cast<void>(this->second.Step(1));
  BOOST_TEST((this->second.OtherLeaderSeenAt() == this->clock.BootNow()));
  // A daemon's own tenure is not recorded as another leader's
  const TimePoint seen = this->first.OtherLeaderSeenAt();
  Run(this->first, 0, Seconds(5));
  BOOST_TEST((this->first.OtherLeaderSeenAt() == seen));
}

BOOST_AUTO_TEST_CASE(HolderRenewsWithoutReading)
{
  Run(this->first, 0, Seconds(5));
  BOOST_REQUIRE(this->first.Status().held);
  const int reads = this->log.Reads();
  const Offset end = this->log.End(LeaseStreamName("utslipp", "vestland"));
  Run(this->first, 0, Seconds(60));
  BOOST_TEST(this->first.Status().held);
  BOOST_TEST(this->log.Reads() == reads);
  BOOST_TEST(this->log.End(LeaseStreamName("utslipp", "vestland")) > end);
}

BOOST_AUTO_TEST_CASE(HolderReadsAfterAForeignRecordPrecedesItsAppend)
{
  Run(this->first, 0, Seconds(5));
  const Offset fencing = this->first.Status().fencing;
  BOOST_TEST(
    this->log.Append(LeaseStreamName("utslipp", "vestland"), "by somebody else").has_value());
  const int reads = this->log.Reads();
  Run(this->first, 0, Seconds(20));
  BOOST_TEST(this->log.Reads() > reads);
  BOOST_TEST(this->first.Status().held);
  BOOST_TEST(this->first.Status().fencing == fencing);
}

BOOST_AUTO_TEST_CASE(AnnouncedLeaderMakesReadsUnnecessary)
{
  Run(this->first, 0, Seconds(2));
  const Offset fencing = this->first.Status().fencing;
  const int reads = this->log.Reads();
  for (int step = 0; step < 100; ++step) {
    this->clock.Advance(this->second.Step(1, fencing));
  }
  BOOST_TEST(this->log.Reads() == reads);
  BOOST_TEST((this->second.OtherLeaderSeenAt() > this->clock.BootNow() - Seconds(1)));
  // The leader is killed and sends no more announcements
  Run(this->second, 0, Seconds(20));
  BOOST_TEST(this->second.Status().held);
  BOOST_TEST(this->second.Status().fencing > fencing);
}

BOOST_AUTO_TEST_CASE(AnnouncementOfAnEndedTenureIsIgnored)
{
  Run(this->first, 0, Seconds(2));
  const Offset older = this->first.Status().fencing;
  Run(this->second, 0, Seconds(20));
  BOOST_REQUIRE(this->second.Status().held);
  this->clock.Advance(Seconds(20));
  const int reads = this->log.Reads();
  static_cast<void>(this->second.Step(0, older));
  BOOST_TEST(this->log.Reads() > reads);
}

// Guards against orders that are refused as stale for long after a restore of the store, and against two leaders: fencing
// numbers were offsets, which go back with the log, and whoever had read the lost lease did not notice.
BOOST_AUTO_TEST_CASE(RestoredLogLowersNoFencingNumberAndGivesNoLeaseTwice)
{
  this->log.Copy();
  Run(this->first, 0, Seconds(40));
  BOOST_REQUIRE(this->first.Status().held);
  const Offset fencing = this->first.Status().fencing;
  // The lease is lost with the log; its holder goes on until it notices
  this->log.Restore();
  Offset newest = fencing;
  bool isSucceeded = false;
  for (const TimePoint end = this->clock.Now() + Seconds(30); this->clock.Now() < end;) {
    for (LeaseFollower* each : { &this->second, &this->first }) {
      static_cast<void>(each->Step(each == &this->first ? 1 : 0));
      const LeaseStatus status = each->Status();
      isSucceeded = isSucceeded || (status.held && status.fencing > fencing);
      BOOST_TEST((!status.held || status.fencing >= newest));
      newest = status.held ? std::max(newest, status.fencing) : newest;
    }
    BOOST_TEST(!(this->first.Status().held && this->second.Status().held));
    this->clock.Advance(Milliseconds(100));
  }
  BOOST_TEST(isSucceeded);
}

BOOST_AUTO_TEST_CASE(LeaseThatTheCopyHasIsNotHeldBeyondItsEnd)
{
  Run(this->first, 0, Seconds(2));
  const Offset fencing = this->first.Status().fencing;
  this->log.Copy();
  Run(this->second, 0, Seconds(30));
  BOOST_REQUIRE(this->second.Status().held);
  BOOST_TEST(!this->first.Status().held);
  // In the copy the first daemon's lease is in force again
  this->log.Restore();
  for (int step = 0; step < 300; ++step) {
    static_cast<void>(this->first.Step(0));
    static_cast<void>(this->second.Step(1));
    BOOST_TEST(!(this->first.Status().held && this->second.Status().held));
    this->clock.Advance(Milliseconds(100));
  }
  BOOST_TEST(this->first.Status().fencing > fencing);
  BOOST_TEST((this->first.Status().held || this->second.Status().held));
}

BOOST_AUTO_TEST_SUITE_END()
