#include "Bench/RouteBench.h"

#include "Bench/AllocationCount.h"
#include "Bench/Decisions/Random.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Routing/Router.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace lagoonward::bench {

namespace {

constexpr int kDecisions = 50000;
constexpr int kWarmUp = 2000;
constexpr int kPublications = 200;
constexpr std::size_t kPrompts = 200;
constexpr std::size_t kBlocks = 160;

/// Measurements of one fleet size.
struct RouteTiming
{
  int endpoints = 0;
  double p50 = 0; ///< Nanoseconds of Choose().
  double p99 = 0;
  double dispatchP50 = 0;        ///< Nanoseconds of OnDispatched(), prefix blocks included.
  std::uint64_t allocations = 0; ///< Sum over all Choose() calls.
  double publishP50 = 0;         ///< Microseconds to publish a fleet snapshot to the router.
};

FleetSnapshot
MakeFleet(int aEndpoints, const Clock& aClock, Random& aRandom)
{
  FleetSnapshot fleet;
  for (int index = 0; index < aEndpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = fmt::format("engine-{}", index);
    endpoint.failureDomain = fmt::format("domain-{}", index % 7);
    endpoint.machineClass = index % 3 == 0 ? "medium" : "large";
    endpoint.pricePerHour = 1 + aRandom.Unit();
    EndpointLoad load;
    load.running = aRandom.Between(0, 20);
    load.models = { { "model", "1", {} } };
    load.asOf = aClock.WallNow();
    endpoint.load = load;
    fleet.endpoints.push_back(std::move(endpoint));
  }
  return fleet;
}

double
Percentile(std::vector<double>& aValues, int aPercent)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() * static_cast<std::size_t>(aPercent) / 100];
}

/// Median time in microseconds that the control thread needs to publish a snapshot: copy the market's
/// endpoints, build the routing table and install it in the router.
double
MeasurePublication(const FleetSnapshot& aFleet, const Manifest& aManifest, const Clock& aClock,
                   Router& aRouter)
{
  std::vector<double> microseconds;
  for (int publication = 0; publication < kPublications; ++publication) {
    const TimePoint start = aClock.Now();
    FleetSnapshot copy;
    copy.endpoints = aFleet.endpoints;
    aRouter.Update(RoutingTable::Build(copy, aManifest, aClock));
    microseconds.push_back(std::chrono::duration<double, std::micro>(aClock.Now() - start).count());
  }
  return Percentile(microseconds, 50);
}

RouteTiming
Measure(int aEndpoints)
{
  const SystemClock clock;
  Random random(1);
  Manifest manifest;
  manifest.models = { { "model", "1", {}, 1 } };
  manifest.classes = { { "draft", Milliseconds(6000), Milliseconds(100), {}, 1 },
                       { "urgent", Milliseconds(1000), Milliseconds(66), {}, 5 } };
  Router router(RoutingSettings{}, clock, 1);
  const FleetSnapshot fleet = MakeFleet(aEndpoints, clock, random);
  router.Update(RoutingTable::Build(fleet, manifest, clock));
  std::vector<std::vector<std::uint64_t>> prompts(kPrompts);
  for (auto& blocks : prompts) {
    blocks.resize(kBlocks);
    std::generate(blocks.begin(), blocks.end(), [&] { return random.Next(); });
  }
  std::vector<double> choose;
  std::vector<double> dispatched;
  choose.reserve(kDecisions);
  dispatched.reserve(kDecisions);
  RouteTiming timing;
  timing.endpoints = aEndpoints;
  for (int decision = -kWarmUp; decision < kDecisions; ++decision) {
    RouteRequest request;
    request.model = "model";
    request.priority = decision % 4 == 0 ? 5 : 1;
    request.firstToken = Milliseconds(6000);
    request.betweenTokens = Milliseconds(100);
    request.promptTokens = 10300;
    request.expectedOutputTokens = 500;
    request.prefixBlocks = prompts[random.Next() % kPrompts];
    const std::uint64_t before = AllocationCount();
    const TimePoint start = clock.Now();
    const auto choice = router.Choose(request);
    const TimePoint chosen = clock.Now();
    const std::uint64_t after = AllocationCount();
    Dispatch dispatch = router.OnDispatched(choice.value(), request);
    const TimePoint done = clock.Now();
    router.OnToken(dispatch);
    router.OnFinished(dispatch, DispatchOutcome::Completed);
    if (decision >= 0) {
      choose.push_back(std::chrono::duration<double, std::nano>(chosen - start).count());
      dispatched.push_back(std::chrono::duration<double, std::nano>(done - chosen).count());
      timing.allocations += after - before;
    }
  }
  timing.p50 = Percentile(choose, 50);
  timing.p99 = Percentile(choose, 99);
  timing.dispatchP50 = Percentile(dispatched, 50);
  timing.publishP50 = MeasurePublication(fleet, manifest, clock, router);
  return timing;
}

} // namespace

int
RunRouteBench(std::span<const std::string> aArguments)
{
  const bool json = aArguments.size() == 1 && aArguments.front() == "--json";
  if (!json && !aArguments.empty()) {
    std::cerr << "usage: lagoonward-bench route [--json]\n";
    return 2;
  }
  for (const int endpoints : { 13, 293, 880 }) {
    const RouteTiming timing = Measure(endpoints);
    const nlohmann::ordered_json object{ { "endpoints", timing.endpoints },
                                         { "decisions", kDecisions },
                                         { "choose_p50_ns", timing.p50 },
                                         { "choose_p99_ns", timing.p99 },
                                         { "dispatched_p50_ns", timing.dispatchP50 },
                                         { "allocations", timing.allocations },
                                         { "publish_p50_us", timing.publishP50 } };
    if (json) {
      std::cout << object.dump() << '\n';
    } else {
      std::cout << fmt::format(
        "{:>5} endpoints: p50 {:.0f} ns, p99 {:.0f} ns, {} allocations in {} "
        "decisions\n",
        timing.endpoints, timing.p50, timing.p99, timing.allocations, kDecisions);
    }
  }
  return 0;
}

} // namespace lagoonward::bench
