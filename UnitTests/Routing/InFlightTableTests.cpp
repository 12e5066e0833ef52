#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/InFlightTable.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(InFlightTableTests)

BOOST_AUTO_TEST_CASE(SumsLatestReportsOfOtherRuns)
{
  VirtualClock clock;
  InFlightTable table(Seconds(3), clock);
  table.OnCounts(1, { { 10, 2 }, { 20, 1 } });
  table.OnCounts(2, { { 10, 5 } });
  table.OnCounts(3, { { 20, 4 } });
  table.OnCounts(2, { { 10, 3 } });
  const InFlightCounts sum = table.SumOfOthers(1);
  BOOST_REQUIRE_EQUAL(sum.size(), 2U);
  BOOST_TEST(sum.at(0).second == 3);
  BOOST_TEST(sum.at(1).second == 4);
}

BOOST_AUTO_TEST_CASE(ExpiresCountsOfSilentRuns)
{
  VirtualClock clock;
  InFlightTable table(Seconds(3), clock);
  table.OnCounts(1, { { 10, 2 } });
  clock.Advance(Seconds(4));
  BOOST_TEST(table.SumOfOthers(2).empty());
}

BOOST_AUTO_TEST_SUITE_END()
