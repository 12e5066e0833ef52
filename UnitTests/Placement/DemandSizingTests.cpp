#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Placement/DemandAccumulator.h"
#include "Lagoonward/Placement/DemandSizing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonward;

namespace {

using Live = std::map<std::string, DomainCount>;

const SizingConstraints kConstraints{ 1,
                                      6,
                                      Milliseconds(4000),
                                      { { "a", 1.0 }, { "b", 0.8 }, { "c", 1.25 } } };

/// A sizing that has observed its initial fleet and a steady load.
DemandSizing
MakeSettled(VirtualClock& aClock, const Live& aLive, double aLoad)
{
  DemandSizing sizing({ .utilization = 0.5, .maximumUtilization = 0.65 }, aClock);
  static_cast<void>(sizing.Plan(kConstraints, aLive));
  for (int second = 0; second < 10; ++second) {
    aClock.Advance(Seconds(1));
    sizing.OnLoad(aLoad);
  }
  return sizing;
}

int
CountOf(const std::vector<SizingOrder>& aOrders, bool aReclaimable)
{
  int count = 0;
  for (const SizingOrder& order : aOrders) {
    count += order.reclaimable == aReclaimable ? order.count : 0;
  }
  return count;
}

void
Accept(DemandSizing& aSizing, const std::vector<SizingOrder>& aOrders)
{
  for (const SizingOrder& order : aOrders) {
    aSizing.OnAccepted(order);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandSizingTests)

BOOST_AUTO_TEST_CASE(NoOrdersBeforeTheInitialFleetIsDiscovered)
{
  VirtualClock clock;
  DemandSizing sizing({}, clock);
  BOOST_TEST(sizing.Plan(kConstraints, {}).empty());
  BOOST_TEST(sizing.Plan(kConstraints, { { "a", { 1, 0 } } }).empty());
  clock.Advance(Seconds(4));
  BOOST_TEST(!sizing.Plan(kConstraints, { { "a", { 3, 0 } } }).empty());
}

BOOST_AUTO_TEST_CASE(OrdinaryEndpointsStayUntilReclaimableOnesAreLive)
{
  VirtualClock clock;
  const Live found{ { "a", { 2, 0 } }, { "b", { 2, 0 } }, { "c", { 1, 0 } } };
  DemandSizing sizing = MakeSettled(clock, found, 3);
  const auto first = sizing.Plan(kConstraints, found);
  BOOST_TEST(CountOf(first, true) >= 5);
  BOOST_TEST(CountOf(first, false) >= 3);
  Accept(sizing, first);
  // Increases are ordered before decreases
  BOOST_TEST(first.front().reclaimable);

  const Live both{ { "a", { 2, 2 } }, { "b", { 2, 3 } }, { "c", { 1, 2 } } };
  const auto second = sizing.Plan(kConstraints, both);
  BOOST_TEST(!second.empty());
  BOOST_TEST(CountOf(second, false) == 0);
}

BOOST_AUTO_TEST_CASE(OrdinaryEndpointsReplaceReclaimableOnesThatAreUnavailable)
{
  VirtualClock clock;
  const Live steady{ { "a", { 0, 2 } }, { "b", { 0, 3 } }, { "c", { 0, 2 } } };
  DemandSizing sizing = MakeSettled(clock, steady, 4);
  Accept(sizing, sizing.Plan(kConstraints, steady));

  // Two failure domains lose all their reclaimable endpoints and have no capacity for more
  sizing.OnUnavailable({ "a", true, 3 });
  sizing.OnUnavailable({ "b", true, 3 });
  const auto orders = sizing.Plan(kConstraints, { { "c", { 0, 2 } } });
  BOOST_TEST(CountOf(orders, false) >= 2);
  for (const SizingOrder& order : orders) {
    BOOST_TEST((!order.reclaimable || order.failureDomain == "c"));
  }
}

BOOST_AUTO_TEST_CASE(LiveReclaimableEndpointsCountInDomainsWithoutFurtherCapacity)
{
  VirtualClock clock;
  const SizingConstraints large{ 1, 60, Milliseconds(4000), { { "a", 1.0 }, { "b", 1.0 } } };
  const Live steady{ { "a", { 0, 25 } }, { "b", { 0, 25 } } };
  DemandSizing sizing({ .utilization = 0.5, .maximumUtilization = 0.65 }, clock);
  static_cast<void>(sizing.Plan(large, steady));
  for (int second = 0; second < 20; ++second) {
    clock.Advance(Seconds(1));
    sizing.OnLoad(20);
  }
  Accept(sizing, sizing.Plan(large, steady));

  // One failure domain loses a third of its endpoints, and neither has capacity for more. The 42 live ones carry the
  // load, which takes 30.8 of them, but could not if half of the other failure domain, 12.5, were also lost
  sizing.OnUnavailable({ "a", true, 25 });
  sizing.OnUnavailable({ "b", true, 25 });
  const Live reduced{ { "a", { 0, 17 } }, { "b", { 0, 25 } } };
  const auto orders = sizing.Plan(large, reduced);
  BOOST_TEST(CountOf(orders, false) == 2);
  Accept(sizing, orders);

  // The ordinary endpoints are removed once reclaimable capacity is available again
  clock.Advance(Seconds(4));
  sizing.OnLoad(20);
  const Live both{ { "a", { 9, 17 } }, { "b", { 8, 25 } } };
  BOOST_TEST(CountOf(sizing.Plan(large, both), false) == 0);
}

BOOST_AUTO_TEST_CASE(SurplusIsKeptUntilReplacementsInOtherDomainsAreLive)
{
  VirtualClock clock;
  const SizingConstraints large{ 1, 60, Milliseconds(4000), { { "a", 1.0 }, { "b", 1.0 } } };
  const Live uneven{ { "a", { 0, 10 } }, { "b", { 0, 40 } } };
  DemandSizing sizing({}, clock);
  static_cast<void>(sizing.Plan(large, uneven));
  for (int second = 0; second < 20; ++second) {
    clock.Advance(Seconds(1));
    sizing.OnLoad(20);
  }
  // The domain with few endpoints gets more; the surplus elsewhere stays until those are live
  const auto orders = sizing.Plan(large, uneven);
  Accept(sizing, orders);
  for (const SizingOrder& order : orders) {
    BOOST_TEST((!order.reclaimable || order.failureDomain == "a"));
  }
  const auto later = sizing.Plan(large, { { "a", { 0, 25 } }, { "b", { 0, 40 } } });
  BOOST_REQUIRE(!later.empty());
  BOOST_TEST(later.front().failureDomain == "b");
}

BOOST_AUTO_TEST_CASE(OrdersStayWithinTheBoundsOfEachFailureDomain)
{
  VirtualClock clock;
  const Live found{ { "a", { 2, 0 } } };
  DemandSizing sizing = MakeSettled(clock, found, 100);
  std::map<std::string, int> counts;
  for (const SizingOrder& order : sizing.Plan(kConstraints, found)) {
    counts[order.failureDomain] = std::max(counts[order.failureDomain], order.count);
  }
  for (const auto& [domain, count] : counts) {
    BOOST_TEST(count <= kConstraints.maximum);
  }
  DemandSizing idle = MakeSettled(clock, found, 0.01);
  for (const SizingOrder& order : idle.Plan(kConstraints, found)) {
    BOOST_TEST((!order.reclaimable || order.count >= kConstraints.minimum));
  }
}

BOOST_AUTO_TEST_CASE(OrderIsRepeatedOnlyWhenTheLiveCountStaysWrong)
{
  VirtualClock clock;
  const Live found{ { "a", { 2, 0 } }, { "b", { 1, 0 } }, { "c", { 1, 0 } } };
  DemandSizing sizing = MakeSettled(clock, found, 2);
  Accept(sizing, sizing.Plan(kConstraints, found));
  BOOST_TEST(sizing.Plan(kConstraints, found).empty());
  clock.Advance(Seconds(8));
  sizing.OnLoad(2);
  BOOST_TEST(!sizing.Plan(kConstraints, found).empty());
}

BOOST_AUTO_TEST_CASE(SmallChangeIsNotOrderedUntilTheLastOrderIsSettled)
{
  VirtualClock clock;
  const SizingConstraints large{ 1, 60, Milliseconds(4000), { { "a", 1.0 }, { "b", 1.0 } } };
  const Live live{ { "a", { 0, 26 } }, { "b", { 0, 25 } } };
  DemandSizing sizing({}, clock);
  static_cast<void>(sizing.Plan(large, live));
  for (int second = 0; second < 20; ++second) {
    clock.Advance(Seconds(1));
    sizing.OnLoad(20);
  }
  Accept(sizing, sizing.Plan(large, live));
  sizing.OnLoad(20.8);
  BOOST_TEST(sizing.Plan(large, live).empty());
  sizing.OnLoad(26);
  BOOST_TEST(!sizing.Plan(large, live).empty());
}

BOOST_AUTO_TEST_CASE(RatesSumTheWorkOfAllDaemons)
{
  VirtualClock clock;
  DemandAccumulator demand(Seconds(3), clock);
  for (int message = 0; message <= 60; ++message) {
    demand.OnTotals(1, { { "s", { message * 0.5 } } });
    demand.OnTotals(2, { { "s", { message * 1.0 } } });
    clock.Advance(Milliseconds(500));
  }
  BOOST_TEST(demand.RateOf("s").promptTokens == 3.0, boost::test_tools::tolerance(0.02));
  BOOST_TEST(demand.RateOf("other").promptTokens == 0);
  // Delayed messages that arrive together do not count as a burst
  for (int message = 61; message <= 66; ++message) {
    clock.Advance(message == 61 ? Milliseconds(2'500) : Milliseconds(1));
    demand.OnTotals(1, { { "s", { message * 0.5 } } });
    demand.OnTotals(2, { { "s", { message * 1.0 } } });
  }
  BOOST_TEST(demand.RateOf("s").promptTokens == 3.0, boost::test_tools::tolerance(0.35));
  // A daemon that has stopped reporting is no longer counted
  clock.Advance(Seconds(2));
  demand.OnTotals(1, { { "s", { 35.0 } } });
  clock.Advance(Seconds(2));
  BOOST_TEST(demand.RateOf("s").promptTokens < 2);
}

BOOST_AUTO_TEST_SUITE_END()
