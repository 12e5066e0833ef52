#include "Lagoonward/Daemon/DrainSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(DrainScheduleTests)

BOOST_AUTO_TEST_CASE(ALongGracePeriodWaitsForTheLoadBalancerAndLeavesTheUsualMargin)
{
  const DrainSchedule schedule = MakeDrainSchedule(Milliseconds(8000));
  BOOST_TEST(schedule.rejectAfter.count() == 2500);
  BOOST_TEST(schedule.stopListeningAfter.count() == 2500);
  BOOST_TEST(schedule.abandonAfter.count() == 7100);
}

// Guards against a short grace period that ends while requests are still accepted, or before the others are answered
BOOST_AUTO_TEST_CASE(AllStepsAreWithinAnyGracePeriod)
{
  for (const int grace : { 1, 100, 1000, 2000, 2500, 3000, 3400, 5000, 8000, 60'000 }) {
    const DrainSchedule schedule = MakeDrainSchedule(Milliseconds(grace));
    BOOST_TEST(schedule.rejectAfter.count() <= grace / 2);
    BOOST_TEST((schedule.rejectAfter <= schedule.stopListeningAfter));
    BOOST_TEST((schedule.stopListeningAfter <= schedule.abandonAfter));
    BOOST_TEST(schedule.abandonAfter.count() <= grace);
  }
}

// Guards against streams that are cut off although their endpoints would have had a good part of the grace period left
BOOST_AUTO_TEST_CASE(RequestsMayUseNearlyAllOfAnyGracePeriod)
{
  for (const int grace : { 100, 1000, 2000, 4500, 5000, 5400, 8000 }) {
    BOOST_TEST(MakeDrainSchedule(Milliseconds(grace)).abandonAfter.count() >= grace * 5 / 6);
  }
}

BOOST_AUTO_TEST_SUITE_END()
