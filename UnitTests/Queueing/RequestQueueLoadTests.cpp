#include "UnitTests/Queueing/QueueLoad.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr int kEndpoints = 12;
constexpr double kSeconds = 30;
constexpr double kServedShare = 0.95; ///< Of what the endpoints can do.
constexpr double kInTimeShare = 0.9;  ///< Of what is served.
constexpr double kUrgentShare = 0.97; ///< Of an urgent rank that alone would fit.

int
Served(const std::vector<LoadResult>& aResults)
{
  int served = 0;
  for (const LoadResult& result : aResults) {
    served += result.served;
  }
  return served;
}

double
InTime(const std::vector<LoadResult>& aResults)
{
  int inTime = 0;
  for (const LoadResult& result : aResults) {
    inTime += result.inTime;
  }
  return inTime / std::max(1.0 * Served(aResults), 1.0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueLoadTests)

/// The load: three priorities, one and a half times the capacity in all, of which the two upper ones fit. Guards against
/// refusals by a threshold of the load, which hit all priorities and leave slots unused.
BOOST_AUTO_TEST_CASE(UrgentRequestsAreServedFirstUnderOverload)
{
  QueueLoad load(kEndpoints);
  const double capacity = load.Capacity();
  const auto results = load.Play(
    { { 0.45 * capacity, 2, 1 }, { 0.45 * capacity, 1, 1 }, { 0.6 * capacity, 0, 1 } }, kSeconds);
  BOOST_TEST(results[0].Served() >= kUrgentShare);
  BOOST_TEST(results[1].Served() >= kUrgentShare);
  BOOST_TEST(Served(results) >= kServedShare * capacity * (kSeconds - 3));
  BOOST_TEST(InTime(results) >= kInTimeShare);
}

/// The load of the case before. The queue of the least urgent requests was taken for a burst again each time that all of
/// them had been refused: the next ones were kept waiting up to their deadline, and most were refused after that.
BOOST_AUTO_TEST_CASE(RequestsThatFitNowhereAreRefusedEarlyForAsLongAsTheOverloadLasts)
{
  QueueLoad load(kEndpoints);
  const double capacity = load.Capacity();
  const auto results = load.Play(
    { { 0.45 * capacity, 2, 1 }, { 0.45 * capacity, 1, 1 }, { 0.6 * capacity, 0, 1 } }, kSeconds);
  const LoadResult& least = results[2];
  BOOST_TEST(least.InTime() >= kInTimeShare);
  BOOST_TEST(least.refusalSeconds / (least.offered - least.served) <= load.target / 4);
}

/// The load of the cases before, of requests that ask twice for a slot that is free now, as those to a service of several
/// pools do. Each question counted as an arrival, so less urgent requests that fitted were refused.
BOOST_AUTO_TEST_CASE(RequestsThatAskForAFreeSlotFirstCountOnce)
{
  QueueLoad load(kEndpoints);
  load.probes = 2;
  const double capacity = load.Capacity();
  const auto results = load.Play(
    { { 0.45 * capacity, 2, 1 }, { 0.45 * capacity, 1, 1 }, { 0.6 * capacity, 0, 1 } }, kSeconds);
  BOOST_TEST(results[0].Served() >= kUrgentShare);
  BOOST_TEST(results[1].Served() >= kUrgentShare);
}

/// The load: 0.7 of the capacity on average, three times as much for 0.7 s of each 3 s. Guards against refusals
/// at once of what would be served before the deadline after the wave.
BOOST_AUTO_TEST_CASE(WavesWaitInsteadOfBeingRefused)
{
  QueueLoad load(kEndpoints);
  const auto shape = [](double aSeconds) {
    constexpr double kMean = (0.7 * 3 + 2.3) / 3;
    return (std::fmod(aSeconds, 3.0) < 0.7 ? 3 : 1) / kMean;
  };
  const auto results = load.Play({ { 0.7 * load.Capacity(), 0, 1, shape } }, kSeconds);
  BOOST_TEST(results[0].Served() >= kServedShare);
}

/// The load: four accounts, one of which asks for six times as much as each other, 1.6 of the capacity in all.
BOOST_AUTO_TEST_CASE(AccountsBelowTheirShareAreServedBeforeALargeOne)
{
  QueueLoad load(kEndpoints);
  const double unit = 1.6 / 9 * load.Capacity();
  const auto results =
    load.Play({ { unit, 0, 1 }, { unit, 0, 2 }, { unit, 0, 3 }, { 6 * unit, 0, 4 } }, kSeconds);
  for (std::size_t account = 0; account < 3; ++account) {
    BOOST_TEST(results[account].Served() >= kServedShare);
  }
  BOOST_TEST(Served(results) >= kServedShare * load.Capacity() * (kSeconds - 3));
  BOOST_TEST(InTime(results) >= kInTimeShare);
}

/// The load: endpoints of speeds 0.4, 1 and 2, 0.85 of what they can do together.
BOOST_AUTO_TEST_CASE(EndpointsOfUnequalSpeedsGetTheirPart)
{
  QueueLoad load(kEndpoints);
  load.speed = [](int aEndpoint, double) {
    constexpr std::array kSpeeds{ 0.4, 1.0, 2.0 };
    return kSpeeds.at(static_cast<std::size_t>(aEndpoint) % kSpeeds.size());
  };
  const double capacity = load.Capacity() * (0.4 + 1 + 2) / 3;
  const auto results = load.Play({ { 0.85 * capacity, 0, 1 } }, kSeconds);
  BOOST_TEST(results[0].Served() >= kServedShare);
  BOOST_TEST(results[0].InTime() >= kInTimeShare);
}

/// The load: 0.8 of the capacity; each endpoint is four times slower for 1 s of 5.
BOOST_AUTO_TEST_CASE(EndpointsAreAvoidedWhileTheyAreSlow)
{
  QueueLoad load(kEndpoints);
  load.speed = [](int aEndpoint, double aSeconds) {
    return std::fmod(aSeconds + aEndpoint * 5.0 / kEndpoints, 5.0) < 1 ? 0.25 : 1.0;
  };
  const auto results = load.Play({ { 0.8 * load.Capacity(), 0, 1 } }, kSeconds);
  BOOST_TEST(results[0].Served() >= kServedShare);
  BOOST_TEST(results[0].InTime() >= kInTimeShare);
}

BOOST_AUTO_TEST_SUITE_END()
