#pragma once

#include "Bench/Decisions/Deployment.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward::bench {

/// A failure domain's hosts go.
struct ReclaimEvent
{
  double at = 0; ///< Seconds from the start, when the notice is given.
  std::string failureDomain;
  double grace = 10;         ///< Seconds of notice.
  double replacedAfter = 60; ///< Seconds from the notice until replacements stand in other domains.
};

/// A domain's prices change.
struct PriceEvent
{
  double at = 0;
  std::string failureDomain;
  double factor = 1;
};

/// Offered load over the ordinary one, from a moment on.
struct LoadPhase
{
  double from = 0;
  double factor = 1;
};

/// What happens in one run.
struct Scenario
{
  std::string name;
  std::vector<LoadPhase> load{ { 0, 1 } };
  double reportLag = 1;    ///< Seconds from a load reading until daemons see it.
  double cacheLag = 2;     ///< The same for cache events.
  double gapChance = 0.02; ///< Chance that a batch of cache events is lost.
  double hotShare = 0;     ///< Part of the document requests that are about one document.
  std::vector<ReclaimEvent> reclaims;
  std::vector<PriceEvent> prices;
  std::vector<double>
    silences; ///< Moments at which one engine's and one service's open connections fall silent.

  [[nodiscard]] double LoadAt(double aSeconds) const;
};

/// Names of all scenarios.
[[nodiscard]] std::span<const std::string_view>
ScenarioNames();

/// One scenario, fitted to a deployment's length and domains. The name must be one of
/// ScenarioNames().
[[nodiscard]] Scenario
MakeScenario(std::string_view aName, const Deployment& aDeployment);

} // namespace lagoonward::bench
