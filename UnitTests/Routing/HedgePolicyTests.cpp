#include "Lagoonward/Routing/HedgePolicy.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(HedgePolicyTests)

BOOST_AUTO_TEST_CASE(HedgesOnlyRepeatableOverdueRequestsNearTheirDeadline)
{
  const HedgeSettings settings;
  HedgeState state;
  state.repeatable = true;
  state.dispatchedAt = TimePoint(Seconds(100));
  state.deadline = TimePoint(Seconds(110));
  state.firstTokenSeconds = 1;
  state.secondAttemptSeconds = 4;
  BOOST_TEST(!ShouldHedge(state, TimePoint(Seconds(103)), settings)); // Overdue, but time is left
  BOOST_TEST(ShouldHedge(state, TimePoint(Seconds(105)), settings));
  BOOST_TEST(!ShouldHedge(state, TimePoint(Seconds(107)), settings)); // Second would be late too
  state.firstTokenSeconds = 3;
  BOOST_TEST(!ShouldHedge(state, TimePoint(Seconds(105)), settings)); // Not overdue yet
  state.firstTokenSeconds = 1;
  state.hasFirstToken = true;
  BOOST_TEST(!ShouldHedge(state, TimePoint(Seconds(105)), settings));
  state.hasFirstToken = false;
  state.repeatable = false;
  BOOST_TEST(!ShouldHedge(state, TimePoint(Seconds(105)), settings));
}

BOOST_AUTO_TEST_SUITE_END()
