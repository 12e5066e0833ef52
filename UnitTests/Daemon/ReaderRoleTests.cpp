#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/ReaderRole.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// The role of the third of six aggregators.
struct RoleFixture
{
  RoleFixture() { this->role.SetRank(kRank, kAggregators); }

  static constexpr int kRank = 2;
  static constexpr int kAggregators = 6;

  VirtualClock clock;
  ReaderRoleSettings settings;
  ReaderRole role{ settings, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReaderRoleTests, RoleFixture)

BOOST_AUTO_TEST_CASE(HighestRankAlwaysReads)
{
  this->role.SetRank(0, kAggregators);
  this->role.OnUpdate(this->clock.BootNow(), 1);
  BOOST_TEST(this->role.ReadsForOthers());
}

BOOST_AUTO_TEST_CASE(LowerRankReadsOnceAHigherOneSuppliesNothing)
{
  BOOST_TEST(!this->role.ReadsForOthers());
  this->clock.Advance(this->role.StalenessLimit());
  BOOST_TEST(!this->role.ReadsForOthers());
  this->clock.Advance(Milliseconds(1));
  BOOST_TEST(this->role.ReadsForOthers());
  this->role.OnUpdate(this->clock.BootNow(), 0);
  BOOST_TEST(!this->role.ReadsForOthers());
}

// Guards against a reader that is alive and reads too late but keeps its rank: its messages come, with old snapshots.
BOOST_AUTO_TEST_CASE(UpdatesWithOldSnapshotsDoNotSupply)
{
  this->clock.Advance(Seconds(10));
  this->role.OnUpdate(this->clock.BootNow() - this->role.StalenessLimit() - Milliseconds(1), 0);
  BOOST_TEST(this->role.ReadsForOthers());
}

BOOST_AUTO_TEST_CASE(ReadsOfLowerRanksAndOwnReadsDoNotSupply)
{
  this->clock.Advance(this->role.StalenessLimit() + Milliseconds(1));
  this->role.OnUpdate(this->clock.BootNow(), kRank + 1);
  this->role.OnUpdate(this->clock.BootNow(), kRank);
  BOOST_TEST(this->role.ReadsForOthers());
}

BOOST_AUTO_TEST_CASE(OtherDaemonsNeverReadForAll)
{
  this->role.SetRank(kAggregators, kAggregators);
  this->clock.Advance(Seconds(60));
  BOOST_TEST(!this->role.ReadsForOthers());
}

/// So that not all read at once when the reader fails.
BOOST_AUTO_TEST_CASE(StalenessLimitsGrowWithRank)
{
  Milliseconds before{ 0 };
  for (int rank = 1; rank <= kAggregators; ++rank) {
    this->role.SetRank(rank, kAggregators);
    BOOST_TEST((this->role.StalenessLimit() > before));
    before = this->role.StalenessLimit();
  }
  BOOST_TEST(
    (before == this->settings.readerStalenessLimit + 2 * this->settings.stalenessLimitStep));
}

BOOST_AUTO_TEST_SUITE_END()
