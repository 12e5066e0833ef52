#include "Lagoonward/Queueing/EndpointPace.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(EndpointPaceTests)

/// Guards against an endpoint that seems infinitely fast or slow before its first request.
BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheFirstRequest)
{
  const SlotTableSettings settings;
  const EndpointPace pace(settings);
  BOOST_TEST(pace.SecondsPerWork() == 0);
  BOOST_TEST(pace.FailureRatio() == 0);
  BOOST_TEST(pace.ConsecutiveFailures() == 0);
}

/// Guards against a first measurement that is averaged with nothing, and against times that are not divided by the work.
BOOST_AUTO_TEST_CASE(TheFirstTimeCountsInFullAndLaterOnesByTheirWeight)
{
  SlotTableSettings settings;
  settings.paceWeight = 0.25;
  EndpointPace pace(settings);
  pace.OnCompleted(4, 2);
  BOOST_TEST(pace.SecondsPerWork() == 2);
  pace.OnCompleted(6, 1);
  BOOST_TEST(pace.SecondsPerWork() == 3);
}

/// Guards against failures that change the learned speed: an endpoint that fails at once would seem the fastest.
BOOST_AUTO_TEST_CASE(FailuresAreCountedAndLeaveTheSpeedAlone)
{
  SlotTableSettings settings;
  settings.failureWeight = 0.5;
  EndpointPace pace(settings);
  pace.OnCompleted(1, 1);
  pace.OnFailed();
  pace.OnFailed();
  BOOST_TEST(pace.SecondsPerWork() == 1);
  BOOST_TEST(pace.FailureRatio() == 0.75);
  BOOST_TEST(pace.ConsecutiveFailures() == 2);
}

/// Guards against an endpoint that stays avoided after it has recovered.
BOOST_AUTO_TEST_CASE(ACompletedRequestEndsARowOfFailures)
{
  SlotTableSettings settings;
  settings.failureWeight = 0.5;
  EndpointPace pace(settings);
  pace.OnFailed();
  pace.OnCompleted(1, 1);
  BOOST_TEST(pace.ConsecutiveFailures() == 0);
  BOOST_TEST(pace.FailureRatio() == 0.25);
}

/// Guards against a success of unknown duration that counts as infinitely fast, or that leaves the endpoint avoided.
BOOST_AUTO_TEST_CASE(ASuccessOfUnknownDurationLeavesTheSpeedAlone)
{
  SlotTableSettings settings;
  settings.failureWeight = 0.5;
  EndpointPace pace(settings);
  pace.OnCompleted(2, 1);
  pace.OnFailed();
  pace.OnSucceeded();
  BOOST_TEST(pace.SecondsPerWork() == 2);
  BOOST_TEST(pace.ConsecutiveFailures() == 0);
  BOOST_TEST(pace.FailureRatio() == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
