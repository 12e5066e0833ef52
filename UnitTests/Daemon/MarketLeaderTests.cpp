#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/MarketLeader.h"
#include "UnitTests/Support/FakeLogService.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Engines that record the orders and return the configured result.
struct FakeEngines final : OrderSender
{
  Result<void> Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder,
                    Offset aFencing) override
  {
    this->sent.push_back({ aEndpoint.id, aOrder.id, aFencing });
    if (this->failure) {
      return *this->failure;
    }
    return boost::outcome_v2::success();
  }

  struct Sent
  {
    std::string endpoint;
    std::string id;
    Offset fencing;
  };
  std::vector<Sent> sent;
  std::optional<Error> failure;
};

/// A cloud that records the starts and returns the configured result.
struct FakeCloud final : CloudService
{
  Result<std::string> StartHost(const HostRequest& aRequest) override
  {
    this->starts.push_back(aRequest);
    if (aRequest.failureDomain == this->fullDomain) {
      return Error(ErrorKind::Overloaded, "no capacity");
    }
    if (this->failure) {
      return *this->failure;
    }
    return "host-" + std::to_string(this->starts.size());
  }
  Result<void> StopHost(std::string_view /*aId*/) override { return boost::outcome_v2::success(); }
  Result<std::vector<Price>> Prices() override { return std::vector<Price>{}; }
  Result<NoticePage> Notices(Offset /*aFrom*/, Milliseconds /*aWait*/) override
  {
    return NoticePage{};
  }

  std::vector<HostRequest> starts;
  std::string fullDomain; ///< Failure domain in which starts are refused.
  std::optional<Error> failure;
};

struct FakeWeights final : WeightStore
{
  Result<void> Check(std::string_view /*aModel*/, std::string_view /*aVersion*/) override
  {
    ++this->checks;
    if (this->failure) {
      return *this->failure;
    }
    return boost::outcome_v2::success();
  }

  int checks = 0;
  std::optional<Error> failure;
};

/// A daemon that has just become the leader of a market with three empty engines.
struct Fixture
{
  VirtualClock clock;
  FleetManagerSettings settings;
  FakeLogService log;
  LeaseFollower lease{ settings, "utslipp", "vestland", "d1", "run-1", log, clock };
  FakeEngines engines;
  FakeCloud cloud;
  FakeWeights weights;
  std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
  std::shared_ptr<FleetSnapshot> fleet = std::make_shared<FleetSnapshot>();
  MarketLeader leader{ settings, "utslipp", "vestland", lease, { engines, cloud, weights }, clock };

  Fixture()
  {
    Manifest& manifest = this->configuration->manifest;
    this->configuration->market = "utslipp";
    this->configuration->offset = 7;
    manifest.market = "utslipp";
    manifest.region = "vestland";
    manifest.failureDomains = { "bergen-a", "bergen-b", "fana" };
    manifest.models = { { "permit", "1", {}, 2 } };
    manifest.ordersFenced = true;
    for (const std::string& domain : manifest.failureDomains) {
      Endpoint engine;
      engine.id = "engine-" + domain;
      engine.failureDomain = domain;
      engine.region = "vestland";
      engine.machineClass = "large";
      engine.load = EndpointLoad{};
      this->fleet->endpoints.push_back(engine);
      this->fleet->prices.push_back({ "large", domain, true, 1.0 });
    }
    Round(Seconds(0));
    Pass(Seconds(2));
  }

  /// Advances the clock while the lease is followed.
  void Pass(Seconds aSpan)
  {
    const TimePoint end = this->clock.Now() + aSpan;
    while (this->clock.Now() < end) {
      this->clock.Advance(std::max(this->lease.Step(0), Milliseconds(100)));
    }
  }

  void Round(Seconds aPassed = Seconds(1))
  {
    Pass(aPassed);
    this->leader.Step({ this->configuration, {}, this->fleet });
  }

  /// Reconciles once as the leader and waits until orders may be sent.
  void Lead()
  {
    Round();
    Pass(std::chrono::duration_cast<Seconds>(this->settings.placement.settleTime));
  }
};

Error
NoAnswer()
{
  return Error(ErrorKind::PlatformUnavailable, "no answer").WithRetryAfter(Seconds(30));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(MarketLeaderTests, Fixture)

BOOST_AUTO_TEST_CASE(ManifestsLoadsAreOrderedOnce)
{
  Lead();
  Round();
  BOOST_REQUIRE(this->engines.sent.size() == 3U);
  BOOST_TEST(this->engines.sent.front().fencing == this->lease.Status().fencing);
  BOOST_TEST(this->weights.checks == 1);
  Round();
  BOOST_TEST(this->engines.sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(NoOrdersAfterResignation)
{
  Lead();
  this->lease.Resign();
  Round();
  Round(Seconds(20));
  BOOST_TEST(this->engines.sent.empty());
  BOOST_TEST(this->cloud.starts.empty());
}

BOOST_AUTO_TEST_CASE(DaemonThatKnowsTheFleetTakesOverSoonerThanANewOne)
{
  // Directly after its first snapshot of the fleet
  Round();
  Round(std::chrono::duration_cast<Seconds>(this->settings.takeoverDelay));
  BOOST_TEST(this->engines.sent.empty());
  Pass(std::chrono::duration_cast<Seconds>(this->settings.placement.settleTime));
  // A second tenure of the same daemon run
  this->lease.Abandon(this->lease.Status().fencing);
  Round(Seconds(8));
  BOOST_REQUIRE(this->lease.Status().held);
  Round(Seconds(2));
  BOOST_TEST(this->engines.sent.empty());
  Round(Seconds(2));
  BOOST_TEST(this->engines.sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(NoOrdersForAManifestOfAnotherRegion)
{
  this->configuration->manifest.region = "sunnmore";
  Lead();
  Round();
  BOOST_TEST(this->engines.sent.empty());
}

BOOST_AUTO_TEST_CASE(StaleFencingNumberEndsTheTenure)
{
  Lead();
  this->engines.failure = Error(ErrorKind::StaleFencing, "newer");
  Round();
  BOOST_TEST(this->engines.sent.size() == 1U);
  const Offset stale = this->engines.sent.front().fencing;
  this->engines.failure.reset();
  Pass(Seconds(10));
  Lead();
  Round();
  BOOST_REQUIRE(this->engines.sent.size() == 4U);
  BOOST_TEST(this->engines.sent.back().fencing > stale);
}

BOOST_AUTO_TEST_CASE(LoadsAreDelayedUntilTheWeightStoreConfirms)
{
  Lead();
  this->weights.failure = NoAnswer();
  Round();
  Round();
  BOOST_TEST(this->weights.checks == 1);
  BOOST_TEST(this->engines.sent.empty());
  this->weights.failure.reset();
  Pass(Seconds(30));
  Round();
  BOOST_TEST(this->engines.sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(UnansweredOrderIsResentUntilTheEngineCountsAsRefusing)
{
  Lead();
  this->engines.failure = NoAnswer();
  Round();
  const auto first = this->engines.sent;
  Round();
  BOOST_REQUIRE(this->engines.sent.size() == 2 * first.size());
  BOOST_TEST(this->engines.sent[first.size()].id == first.front().id);
  Round();
  Round();
  BOOST_TEST(this->engines.sent.size() == 3 * first.size());
}

BOOST_AUTO_TEST_CASE(UnansweredStartIsRepeatedAndARefusedStartMovesToAnotherDomain)
{
  this->fleet->endpoints.clear();
  Lead();
  this->cloud.failure = NoAnswer();
  Round();
  Round();
  BOOST_REQUIRE(this->cloud.starts.size() >= 2U);
  const HostRequest lost = this->cloud.starts.front();
  const auto same = [&](const HostRequest& aStart) {
    return aStart.clientToken == lost.clientToken;
  };
  BOOST_TEST(std::count_if(this->cloud.starts.begin(), this->cloud.starts.end(), same) == 2);

  this->cloud.failure.reset();
  this->cloud.fullDomain = lost.failureDomain;
  Round();
  this->cloud.starts.clear();
  Round();
  BOOST_REQUIRE(!this->cloud.starts.empty());
  for (const HostRequest& start : this->cloud.starts) {
    BOOST_TEST(start.failureDomain != lost.failureDomain);
  }
}

BOOST_AUTO_TEST_CASE(NoHostIsStartedAfterTheLeaseExpired)
{
  this->fleet->endpoints.clear();
  Lead();
  this->log.SetDown(true);
  Pass(Seconds(12));
  Round();
  BOOST_TEST(this->cloud.starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
