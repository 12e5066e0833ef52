#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/Router.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>

using namespace lagoonward;

namespace {

/// Endpoints of one plain service that do not report their load.
struct Fixture
{
  explicit Fixture(int aEndpoints)
  {
    this->manifest.services = { { "s", false } };
    for (int index = 0; index < aEndpoints; ++index) {
      Endpoint endpoint;
      endpoint.id = "e" + std::to_string(index);
      endpoint.kind = EndpointKind::Service;
      endpoint.name = "s";
      endpoint.sequences = 6;
      this->fleet.endpoints.push_back(endpoint);
    }
    this->router.Update(RoutingTable::Build(this->fleet, this->manifest, this->clock));
  }

  [[nodiscard]] static RouteRequest Request()
  {
    RouteRequest request;
    request.service = "s";
    request.isPlainCall = true;
    request.expectedOutputTokens = 1;
    return request;
  }

  /// Makes one call with the given duration and outcome; returns the chosen endpoint.
  std::string Call(Milliseconds aDuration, DispatchOutcome aOutcome)
  {
    const auto choice = this->router.Choose(Request());
    BOOST_REQUIRE(choice.has_value());
    Dispatch dispatch = this->router.OnDispatched(choice.value(), Request());
    this->clock.Advance(aDuration);
    this->router.OnFinished(dispatch, aOutcome);
    return choice.value().Target().id;
  }

  VirtualClock clock;
  Manifest manifest;
  FleetSnapshot fleet;
  Router router{ {}, clock, 1 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RouterCallTests)

BOOST_AUTO_TEST_CASE(CallsAreSpreadOverEqualEndpoints)
{
  Fixture fixture(4);
  std::map<std::string, int> counts;
  for (int call = 0; call < 400; ++call) {
    ++counts[fixture.Call(Milliseconds(20), DispatchOutcome::Completed)];
  }
  BOOST_TEST(counts.size() == 4U);
  for (const auto& [id, count] : counts) {
    BOOST_TEST(count > 50);
    BOOST_TEST(count < 200);
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatFailsSomeOfItsCallsIsAvoided)
{
  Fixture fixture(4);
  std::map<std::string, int> counts;
  int callsToE0 = 0;
  for (int call = 0; call < 400; ++call) {
    const auto choice = fixture.router.Choose(Fixture::Request());
    const std::string id = choice.value().Target().id;
    Dispatch dispatch = fixture.router.OnDispatched(choice.value(), Fixture::Request());
    fixture.clock.Advance(Milliseconds(20));
    // Two of five calls fail, never three in a row, so that the circuit breaker does not open
    const bool fails = id == "e0" && ++callsToE0 % 5 < 2;
    fixture.router.OnFinished(dispatch,
                              fails ? DispatchOutcome::Failed : DispatchOutcome::Completed);
    ++counts[id];
  }
  BOOST_TEST(counts["e0"] < 40);
}

BOOST_AUTO_TEST_CASE(PeerInFlightCountsAreUsedUntilTheyExpire)
{
  Fixture fixture(2);
  const RoutingTablePtr table = RoutingTable::Build(fixture.fleet, fixture.manifest, fixture.clock);
  const std::array<EndpointInFlightCount, 1> busy{ EndpointInFlightCount{ table->Targets()[0].key,
                                                                          30 } };
  fixture.router.OnPeersInFlight(busy);
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(fixture.Call(Milliseconds(5), DispatchOutcome::Completed) == "e1");
  }
  // The counts expire
  fixture.clock.Advance(Seconds(5));
  std::map<std::string, int> counts;
  for (int call = 0; call < 40; ++call) {
    ++counts[fixture.Call(Milliseconds(5), DispatchOutcome::Completed)];
  }
  BOOST_TEST(counts["e0"] > 5);
}

BOOST_AUTO_TEST_CASE(OwnInFlightCountsUnfinishedDispatches)
{
  Fixture fixture(1);
  const auto choice = fixture.router.Choose(Fixture::Request());
  Dispatch first = fixture.router.OnDispatched(choice.value(), Fixture::Request());
  Dispatch second = fixture.router.OnDispatched(choice.value(), Fixture::Request());
  BOOST_TEST(fixture.router.OwnInFlight().at(0).count == 2);
  fixture.router.OnFinished(first, DispatchOutcome::Completed);
  fixture.router.OnFinished(second, DispatchOutcome::Failed);
  BOOST_TEST(fixture.router.OwnInFlight().empty());
}

BOOST_AUTO_TEST_SUITE_END()
