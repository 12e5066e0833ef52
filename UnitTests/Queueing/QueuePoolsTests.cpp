#include "Lagoonward/Queueing/QueuePools.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace lagoonward;

namespace {

constexpr int kEndpoints = 200;
constexpr int kSlots = 4;

Endpoint
MakeEndpoint(int aIndex, int aSlots = kSlots)
{
  Endpoint endpoint;
  endpoint.id = "host-" + std::to_string(aIndex);
  endpoint.name = "calls";
  endpoint.incarnation = 1;
  endpoint.sequences = aSlots;
  return endpoint;
}

FleetSnapshot
MakeFleet(int aEndpoints)
{
  FleetSnapshot fleet;
  for (int index = 0; index < aEndpoints; ++index) {
    fleet.endpoints.push_back(MakeEndpoint(index));
  }
  return fleet;
}

std::shared_ptr<const QueuePools>
Divide(const FleetSnapshot& aFleet)
{
  return std::make_shared<const QueuePools>(
    aFleet, QueuePoolSettings{}, [](std::string_view aService) { return aService == "calls"; });
}

/// Endpoints that are in another pool of the second division than of the first.
int
Moved(const FleetSnapshot& aFleet, const QueuePools& aLeft, const QueuePools& aRight)
{
  return static_cast<int>(
    std::count_if(aFleet.endpoints.begin(), aFleet.endpoints.end(), [&](const Endpoint& aEach) {
      const std::uint64_t key = EndpointKeyOf(aEach);
      return aLeft.PoolOf(key) != aRight.PoolOf(key);
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueuePoolsTests)

/// Guards against daemons that ask different owners for the slots of an endpoint, as their lists are sorted differently.
BOOST_AUTO_TEST_CASE(TheSameListInAnotherOrderGivesTheSameDivision)
{
  FleetSnapshot fleet = MakeFleet(kEndpoints);
  const auto forward = Divide(fleet);
  std::reverse(fleet.endpoints.begin(), fleet.endpoints.end());
  const auto backward = Divide(fleet);
  BOOST_TEST(Moved(fleet, *forward, *backward) == 0);
  const auto left = forward->PoolsOf("calls");
  const auto right = backward->PoolsOf("calls");
  BOOST_REQUIRE(left.size() == right.size());
  for (std::size_t index = 0; index < left.size(); ++index) {
    BOOST_TEST(left[index].key == right[index].key);
    BOOST_TEST(left[index].slots == right[index].slots);
    BOOST_TEST(left[index].endpoints.size() == right[index].endpoints.size());
  }
}

/// Guards against endpoints that are in no pool or in two, and against lookups that disagree with the division.
BOOST_AUTO_TEST_CASE(EveryEndpointIsInOnePool)
{
  const FleetSnapshot fleet = MakeFleet(kEndpoints);
  const auto pools = Divide(fleet);
  std::set<std::uint64_t> seen;
  int slots = 0;
  for (const QueuePool& pool : pools->PoolsOf("calls")) {
    BOOST_TEST(pools->Find(pool.key) == &pool);
    slots += pool.slots;
    for (const PoolEndpoint& endpoint : pool.endpoints) {
      BOOST_TEST(seen.insert(endpoint.key).second);
      BOOST_TEST(pools->PoolOf(endpoint.key) == pool.key);
    }
  }
  BOOST_TEST(seen.size() == fleet.endpoints.size());
  BOOST_TEST(slots == kEndpoints * kSlots);
  BOOST_TEST(pools->IdOf(EndpointKeyOf(fleet.endpoints[7])) == "host-7");
}

/// Guards against pools so small that requests wait in one while another has room, and so large that one owner has all.
BOOST_AUTO_TEST_CASE(PoolsHaveAboutTheSlotsOfTheSetting)
{
  const auto pools = Divide(MakeFleet(kEndpoints));
  const std::size_t count = pools->PoolsOf("calls").size();
  BOOST_TEST(count == 32);
}

/// Guards against requests in flight that are unknown to their endpoint's owner each time another endpoint comes or goes.
BOOST_AUTO_TEST_CASE(AnEndpointThatComesOrGoesMovesNoOtherWhileTheNumberOfPoolsStays)
{
  const FleetSnapshot fleet = MakeFleet(kEndpoints);
  const auto before = Divide(fleet);
  BOOST_TEST(Moved(fleet, *before, *Divide(MakeFleet(kEndpoints + 1))) == 0);
  FleetSnapshot fewer = fleet;
  fewer.endpoints.erase(fewer.endpoints.begin() + 50);
  BOOST_TEST(Moved(fewer, *before, *Divide(fewer)) == 0);
}

/// Guards against all endpoints moving where the number of pools doubles; half of them have to.
BOOST_AUTO_TEST_CASE(TwiceAsManyPoolsMoveAboutHalfOfTheEndpoints)
{
  const FleetSnapshot fleet = MakeFleet(kEndpoints);
  const FleetSnapshot more = MakeFleet(2 * kEndpoints);
  const int moved = Moved(fleet, *Divide(fleet), *Divide(more));
  BOOST_TEST(moved > kEndpoints * 3 / 10);
  BOOST_TEST(moved < kEndpoints * 7 / 10);
}

/// Guards against a large endpoint that fills a pool and leaves the small ones there without requests.
BOOST_AUTO_TEST_CASE(AnEndpointWithManySlotsIsAPoolOfItsOwn)
{
  FleetSnapshot fleet = MakeFleet(8);
  fleet.endpoints.push_back(MakeEndpoint(100, QueuePoolSettings().slotsPerPool));
  const auto pools = Divide(fleet);
  const std::uint64_t key = EndpointKeyOf(fleet.endpoints.back());
  const QueuePool* own = pools->Find(pools->PoolOf(key));
  BOOST_REQUIRE(own != nullptr);
  BOOST_TEST(own->endpoints.size() == 1);
  BOOST_TEST(own->slots == QueuePoolSettings().slotsPerPool);
  BOOST_TEST(pools->PoolsOf("calls").size() <= 3);
}

/// Guards against requests that prefer a pool for slots of endpoints that accept none, while their running requests must
/// still be known.
BOOST_AUTO_TEST_CASE(LeavingEndpointsStayInTheirPoolWithoutCountingAsSlots)
{
  FleetSnapshot fleet = MakeFleet(2);
  const auto before = Divide(fleet);
  fleet.endpoints[0].state = EndpointState::Leaving;
  const auto pools = Divide(fleet);
  BOOST_REQUIRE(pools->PoolsOf("calls").size() == 1);
  const QueuePool& pool = pools->PoolsOf("calls").front();
  BOOST_TEST(pool.slots == kSlots);
  BOOST_TEST(pool.endpoints.size() == 2);
  BOOST_TEST(std::count_if(pool.endpoints.begin(), pool.endpoints.end(),
                           [](const PoolEndpoint& aEach) { return aEach.acceptsRequests; }) == 1);
  BOOST_TEST(Moved(fleet, *before, *pools) == 0);
}

/// Guards against requests of services that are not queued waiting for slots.
BOOST_AUTO_TEST_CASE(OtherServicesHaveNoPools)
{
  FleetSnapshot fleet = MakeFleet(2);
  fleet.endpoints[1].name = "other";
  const auto pools = Divide(fleet);
  BOOST_TEST(pools->PoolsOf("other").empty());
  BOOST_TEST(pools->PoolOf(EndpointKeyOf(fleet.endpoints[1])) == 0);
  BOOST_TEST(pools->IdOf(EndpointKeyOf(fleet.endpoints[1])).empty());
  BOOST_TEST(pools->Find(1) == nullptr);
}

/// Guards against an endpoint that reports no number of slots and would get no requests.
BOOST_AUTO_TEST_CASE(AnEndpointOfUnknownSizeHasOneSlot)
{
  FleetSnapshot fleet;
  fleet.endpoints.push_back(MakeEndpoint(1, 0));
  const auto pools = Divide(fleet);
  BOOST_REQUIRE(pools->PoolsOf("calls").size() == 1);
  BOOST_TEST(pools->PoolsOf("calls").front().slots == 1);
}

BOOST_AUTO_TEST_SUITE_END()
