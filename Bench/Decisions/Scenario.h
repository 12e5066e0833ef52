#pragma once

#include "Bench/Decisions/Deployment.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward::bench {

/// Reclaim of all engines of a failure domain.
struct ReclaimEvent
{
  double at = 0; ///< Time of the notice, in seconds from the start.
  std::string failureDomain;
  double grace = 10; ///< Seconds from the notice until termination.
  /// Seconds from the notice until replacements in other domains are ready.
  double replacementDelay = 60;
};

/// Price change of a failure domain.
struct PriceEvent
{
  double at = 0; ///< Seconds from the start.
  std::string failureDomain;
  double factor = 1; ///< Relative to EngineSpec::pricePerHour.
};

/// Factor of the offered load relative to the deployment's nominal load, from a point in time on.
struct LoadPhase
{
  double from = 0; ///< Seconds from the start.
  double factor = 1;
};

/// Load, faults and delays of one run.
struct Scenario
{
  std::string name;
  std::vector<LoadPhase> load{ { 0, 1 } };
  double reportLag = 1;           ///< Seconds from a load sample until daemons see it.
  double cacheLag = 2;            ///< The same for cache events.
  double gapChance = 0.02;        ///< Probability that a batch of cache events is lost.
  double hotDocumentFraction = 0; ///< Fraction of the document requests that use the same document.
  std::vector<ReclaimEvent> reclaims;
  std::vector<PriceEvent> prices;
  /// Times at which the open connections of one engine and one service stall, in seconds.
  std::vector<double> connectionStalls;

  /// Load factor at a time in seconds from the start.
  [[nodiscard]] double LoadAt(double aSeconds) const;
};

/// Names of all scenarios.
[[nodiscard]] std::span<const std::string_view>
ScenarioNames();

/// Creates a scenario with times and domains scaled to a deployment. The name must be one of ScenarioNames().
[[nodiscard]] Scenario
MakeScenario(std::string_view aName, const Deployment& aDeployment);

} // namespace lagoonward::bench
