#include "Lagoonward/Relay/RelayRoutes.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

RelayRoutePtr
ShareRoute(RelayRoute aRoute)
{
  return std::make_shared<const RelayRoute>(std::move(aRoute));
}

RelayRoute
MakeRoute(std::string aName, std::string aPrefix)
{
  RelayRoute route;
  route.name = std::move(aName);
  route.host = "a.example";
  route.prefix = std::move(aPrefix);
  route.services = { { "first", 90 }, { "second", 10 } };
  return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRoutesTests)

BOOST_AUTO_TEST_CASE(FindRouteSelectsTheLongestPrefixOfTheHost)
{
  RelayRoutes routes(7);
  routes.AddRoute(ShareRoute(MakeRoute("short", "/a/")));
  routes.AddRoute(ShareRoute(MakeRoute("long", "/a/b/")));
  routes.AddRoute(ShareRoute(MakeRoute("middle", "/a/bc/")));
  BOOST_TEST(routes.FindRoute("a.example", "/a/b/c")->name == "long");
  BOOST_TEST(routes.FindRoute("a.example", "/a/bc/")->name == "middle");
  BOOST_TEST(routes.FindRoute("a.example", "/a/b")->name == "short");
  BOOST_TEST(routes.FindRoute("a.example", "/b/").get() == nullptr);
  BOOST_TEST(routes.FindRoute("b.example", "/a/").get() == nullptr);
}

/// Guards against requests that wait in a queue although nothing says how long their callers do.
BOOST_AUTO_TEST_CASE(ServiceHasATimeoutIfARouteOfItStatesOne)
{
  RelayRoutes routes(7);
  RelayRoute without = MakeRoute("without", "/a/");
  without.services = { { "first", 1 }, { "never", 1 } };
  routes.AddRoute(ShareRoute(without));
  BOOST_TEST(!routes.HasTimeout("first"));
  RelayRoute with = MakeRoute("with", "/b/");
  with.timeout = Milliseconds(100);
  routes.AddRoute(ShareRoute(with));
  BOOST_TEST(routes.HasTimeout("first"));
  BOOST_TEST(routes.HasTimeout("second"));
  BOOST_TEST(!routes.HasTimeout("never"));
  BOOST_TEST(!routes.HasTimeout("unknown"));
}

BOOST_AUTO_TEST_CASE(FindAccountReturnsTheAccountOfAKey)
{
  RelayRoutes routes(7);
  BOOST_TEST(!routes.HasAccounts());
  routes.AddAccount({ "first", {}, true, 1 }, { "k1", "k2" });
  routes.AddAccount({ "second", {}, true, 1 }, { "k3" });
  BOOST_TEST(routes.FindAccount("k2")->name == "first");
  BOOST_TEST(routes.FindAccount("k3")->name == "second");
  BOOST_TEST(routes.FindAccount("k4") == nullptr);
  BOOST_TEST(routes.FindAccount("") == nullptr);
}

BOOST_AUTO_TEST_CASE(SplitsTrafficByWeight)
{
  const RelayRoute route = MakeRoute("split", "/");
  int second = 0;
  constexpr std::uint64_t kDraws = 1000;
  for (std::uint64_t draw = 0; draw < kDraws; ++draw) {
    second += route.SelectService(draw * (UINT64_MAX / kDraws)) == "second" ? 1 : 0;
  }
  // The draws are evenly spaced except for the rounding of their distance
  BOOST_TEST(second >= 99);
  BOOST_TEST(second <= 101);
}

BOOST_AUTO_TEST_CASE(OnlyIdempotentRoutesAndResumableStreamsAreRepeatable)
{
  RelayRoute route = MakeRoute("kind", "/");
  route.kind = RelayKind::NonIdempotent;
  BOOST_TEST(!route.IsRepeatable());
  route.kind = RelayKind::Stream;
  BOOST_TEST(!route.IsRepeatable());
  route.resumable = true;
  BOOST_TEST(route.IsRepeatable());
  route.kind = RelayKind::Idempotent;
  BOOST_TEST(route.IsRepeatable());
}

BOOST_AUTO_TEST_SUITE_END()
