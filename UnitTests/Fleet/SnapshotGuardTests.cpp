#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Fleet/SnapshotGuard.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// A guard whose snapshot is current, and whose process runs.
struct GuardFixture
{
  GuardFixture()
  {
    this->clock.Advance(Seconds(60));
    this->guard.OnTick();
    this->guard.SetAsOf(this->clock.BootNow());
  }

  /// Time passes while the process runs.
  void Run(Milliseconds aSpan)
  {
    constexpr Milliseconds kTick{ 50 };
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += kTick) {
      this->clock.Advance(kTick);
      this->guard.OnTick();
    }
  }

  VirtualClock clock;
  SnapshotGuardSettings settings;
  SnapshotGuard guard{ settings, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SnapshotGuardTests, GuardFixture)

BOOST_AUTO_TEST_CASE(RequestsAreSentBeforeTheFirstSnapshotAndOnCurrentOnes)
{
  BOOST_TEST(SnapshotGuard(this->settings, this->clock).MaySend());
  BOOST_TEST(this->guard.MaySend());
  this->Run(this->settings.maximumAge);
  BOOST_TEST(this->guard.MaySend());
}

// Guards against requests that reach endpoints that have left, right after the process stood still: it sent what had
// arrived meanwhile before it had read the source.
BOOST_AUTO_TEST_CASE(RequestsWaitAfterAStandstillUntilTheSnapshotIsCurrent)
{
  this->clock.Advance(Seconds(3));
  BOOST_TEST(!this->guard.MaySend());
  this->guard.OnTick();
  BOOST_TEST(!this->guard.MaySend());
  this->guard.SetAsOf(this->clock.BootNow());
  BOOST_TEST(this->guard.MaySend());
}

BOOST_AUTO_TEST_CASE(RequestsWaitForTheRefreshTimeoutAtMost)
{
  this->clock.Advance(Seconds(3));
  BOOST_TEST(!this->guard.MaySend());
  this->Run(this->settings.refreshTimeout);
  BOOST_TEST(this->guard.MaySend());
  // The next ones don't wait again as long as the snapshot stays old
  this->Run(Seconds(10));
  BOOST_TEST(this->guard.MaySend());
}

BOOST_AUTO_TEST_CASE(RequestsDoNotWaitWhileTheSourceIsKnownToBeLost)
{
  this->guard.OnSourceReachability(false);
  this->Run(Seconds(3));
  BOOST_TEST(this->guard.MaySend());
  // After a standstill the source may answer again
  this->clock.Advance(Seconds(3));
  BOOST_TEST(!this->guard.MaySend());
}

BOOST_AUTO_TEST_CASE(RequestsWaitAnewAfterEachStandstill)
{
  this->clock.Advance(Seconds(3));
  BOOST_TEST(!this->guard.MaySend());
  this->Run(this->settings.refreshTimeout);
  BOOST_TEST(this->guard.MaySend());
  this->clock.Advance(Seconds(3));
  BOOST_TEST(!this->guard.MaySend());
}

BOOST_AUTO_TEST_CASE(AnOlderSnapshotChangesNothing)
{
  this->guard.SetAsOf(this->clock.BootNow() - Seconds(10));
  BOOST_TEST(this->guard.MaySend());
}

BOOST_AUTO_TEST_SUITE_END()
