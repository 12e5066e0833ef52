#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/LoadTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kGroup = 77;
constexpr std::uint64_t kOtherGroup = 78;

MemberReport
ReportOf(std::uint64_t aRun, std::uint64_t aGroup = kGroup)
{
  MemberReport report;
  report.run = aRun;
  report.group = aGroup;
  report.hasUsage = true;
  report.usage = { { 3, { { "a", 2 } } } };
  report.inFlight = { { 10, 1 }, { 20, 2 } };
  report.demand = { { 5, 100, 1, 0 } };
  report.speeds = { { "engine", 1e-4, 1e-2, 1e-3, 10 } };
  return report;
}

struct Fixture
{
  Fixture()
    : table({}, 1, clock)
  {
    this->table.SetGroup(kGroup);
  }

  VirtualClock clock;
  LoadTable table;
};

/// The report of a group's first aggregator after its members have reported.
GroupReport
GroupOf(const Clock& aClock, std::uint64_t aRun, std::uint64_t aGroup, int aMembers)
{
  LoadTable table({}, aRun, aClock);
  table.SetGroup(aGroup);
  for (int member = 0; member < aMembers; ++member) {
    table.OnMemberReport(ReportOf(aRun * 1000 + static_cast<std::uint64_t>(member), aGroup));
  }
  return table.MakeGroupReport(true);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadTableTests)

/// Load pattern: a fleet of any size, every daemon with a few requests in flight and some usage. Guards against daemons
/// that are missed or counted twice: the leader reports the usage of all daemons, and each daemon needs the requests in
/// flight of all others, whatever the size.
BOOST_DATA_TEST_CASE(EachDaemonIsCountedOnceInFleetsOfAnySize,
                     boost::unit_test::data::make({ 20, 100, 300, 600 }), daemons)
{
  constexpr int kPerGroup = 10;
  Fixture fixture;
  const int groups = daemons / kPerGroup;
  for (int member = 0; member < kPerGroup; ++member) {
    fixture.table.OnMemberReport(ReportOf(static_cast<std::uint64_t>(member) + 1));
  }
  for (int group = 1; group < groups; ++group) {
    const auto key = static_cast<std::uint64_t>(group);
    BOOST_TEST(
      fixture.table.OnGroupReport(GroupOf(fixture.clock, 100 + key, 1000 + key, kPerGroup)));
  }
  BOOST_TEST(fixture.table.ReportedDaemons() == daemons);
  BOOST_TEST(fixture.table.UsageInWindow(3).at("a") == 2 * daemons);
  const LoadSum sum = fixture.table.SumFor(1);
  BOOST_TEST(sum.demand.daemons == daemons - 1);
  BOOST_REQUIRE(sum.inFlight.size() == 2U);
  BOOST_TEST(sum.inFlight.front().second == daemons - 1);
  BOOST_TEST(sum.demand.demand.front().running == daemons - 1);
}

BOOST_AUTO_TEST_CASE(SumsOfAGroupAreTakenFromOneAggregatorUntilItStopsSending)
{
  Fixture fixture;
  BOOST_TEST(fixture.table.OnGroupReport(GroupOf(fixture.clock, 8, kOtherGroup, 4)));
  // A second daemon of that group regards itself as the first aggregator, too
  BOOST_TEST(!fixture.table.OnGroupReport(GroupOf(fixture.clock, 9, kOtherGroup, 2)));
  BOOST_TEST(fixture.table.ReportedDaemons() == 4);
  fixture.clock.Advance(LoadTableSettings{}.aggregatorTimeout + Milliseconds(1));
  BOOST_TEST(fixture.table.OnGroupReport(GroupOf(fixture.clock, 9, kOtherGroup, 2)));
  BOOST_TEST(fixture.table.ReportedDaemons() == 2);
  // The usage that the first aggregator reported remains
  BOOST_TEST(fixture.table.UsageInWindow(3).at("a") == 8);
}

BOOST_AUTO_TEST_CASE(MemberReportsOfOtherGroupsAndSumsOfTheOwnGroupAreIgnored)
{
  Fixture fixture;
  fixture.table.OnMemberReport(ReportOf(5, kOtherGroup));
  BOOST_TEST(fixture.table.ReportedDaemons() == 0);
  BOOST_TEST(!fixture.table.OnGroupReport(GroupOf(fixture.clock, 8, kGroup, 4)));
  // After a change of group, the aggregators of the old group report its members
  fixture.table.OnMemberReport(ReportOf(5));
  fixture.table.SetGroup(kOtherGroup);
  BOOST_TEST(fixture.table.UsageInWindow(3).empty());
}

BOOST_AUTO_TEST_CASE(GroupsBeyondTheMaximumAreRejected)
{
  VirtualClock clock;
  LoadTableSettings settings;
  settings.maximumGroups = 1;
  LoadTable table(settings, 1, clock);
  BOOST_TEST(table.OnGroupReport(GroupOf(clock, 8, 1, 1)));
  BOOST_TEST(!table.OnGroupReport(GroupOf(clock, 9, 2, 1)));
}

BOOST_AUTO_TEST_CASE(ImplausibleDemandIsIgnored)
{
  Fixture fixture;
  MemberReport report = ReportOf(2);
  report.demand = { { 5, -1, 0, 0 }, { 6, 1, 0, std::nan("") }, { 7, 1, 0, 1 } };
  fixture.table.OnMemberReport(report);
  BOOST_TEST(fixture.table.SumFor(9).demand.demand.size() == 1U);
}

/// Load pattern: a calm day on a fleet in several failure domains, speeds still being measured. Guards against groups
/// that send each other the speeds in use instead of the measured ones: all stayed at the first, slow estimate, and
/// three times the endpoints needed were ordered.
BOOST_AUTO_TEST_CASE(GroupReportsTheMedianOfItsMembersMeasuredSpeeds)
{
  Fixture fixture;
  for (std::uint64_t member = 1; member <= 3; ++member) {
    MemberReport report = ReportOf(member);
    report.speeds.front().prefillSecondsPerToken = static_cast<double>(member);
    fixture.table.OnMemberReport(report);
  }
  GroupReport other = GroupOf(fixture.clock, 8, kOtherGroup, 4);
  other.speeds.front().prefillSecondsPerToken = 50;
  BOOST_TEST(fixture.table.OnGroupReport(other));
  const GroupReport report = fixture.table.MakeGroupReport(false);
  BOOST_REQUIRE(report.speeds.size() == 1U);
  BOOST_TEST(report.speeds.front().prefillSecondsPerToken == 2);
  BOOST_TEST(report.speeds.front().daemons == 3U);
}

BOOST_AUTO_TEST_CASE(WindowIsReportableOnceAllGroupsHaveReportedItsUsage)
{
  Fixture fixture;
  fixture.table.OnMemberReport(ReportOf(1));
  fixture.table.OnGroupReport(GroupOf(fixture.clock, 8, kOtherGroup, 4));
  fixture.clock.Advance(Milliseconds(2000));
  fixture.table.OnMemberReport(ReportOf(1));
  BOOST_TEST(!fixture.table.IsUsageReportable(Milliseconds(1500)));
  // The group's sums have just been received, but one of its members has not reported since the window's end
  GroupReport late = GroupOf(fixture.clock, 8, kOtherGroup, 4);
  late.usageAge = 1900;
  fixture.table.OnGroupReport(late);
  BOOST_TEST(!fixture.table.IsUsageReportable(Milliseconds(1500)));
  fixture.table.OnGroupReport(GroupOf(fixture.clock, 8, kOtherGroup, 4));
  BOOST_TEST(fixture.table.IsUsageReportable(Milliseconds(1500)));
}

/// Load pattern: a fleet of 300 daemons whose leader is no aggregator; reports are synchronized, each an interval of
/// 424 ms after the one that it depends on. Guards against aggregators that take the leader's announcement for expired:
/// two of six groups always did and sent the leader no usage, so that a third of each window was missing.
BOOST_AUTO_TEST_CASE(LeaderAnnouncementThreeIntervalsOldIsForwarded)
{
  constexpr Milliseconds kInterval{ 424 };
  VirtualClock clock;
  LoadTable near({}, 1, clock);
  near.SetGroup(kGroup);
  LoadTable far({}, 2, clock);
  far.SetGroup(kOtherGroup);
  MemberReport report = ReportOf(5);
  report.leader = { "leader", 7, 0 };
  near.OnMemberReport(report);
  clock.Advance(kInterval);
  far.OnGroupReport(near.MakeGroupReport(false));
  clock.Advance(2 * kInterval);
  BOOST_TEST(far.SumFor(9).leader.id == "leader");
  BOOST_TEST(far.MakeGroupReport(false).leader.age == 3 * kInterval.count());
  clock.Advance(LoadTableSettings{}.silenceTimeout);
  BOOST_TEST(far.SumFor(9).leader.id.empty());
}

BOOST_AUTO_TEST_SUITE_END()
