#pragma once

#include "Lagoonward/Attempts/CompletionRun.h"
#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Reclaim/MovePlanner.h"

#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// Settings of the move planner, and estimates for values that endpoints do not report.
struct MoveCoordinatorSettings
{
  ReclaimSettings planner;
  std::int64_t kvBytesPerToken = 65'536; ///< Size of one token's KV cache.
  double kvBytesPerSecond = 250e6;       ///< Speed of an export or import between two engines.
  double tokensPerSecond = 30;           ///< Of a stream without a measured speed.
  double prefillTokensPerSecond = 8'000; ///< Of any engine.
  int batchLimit = 64;                   ///< Streams that an engine is expected to run at once.
  double reclaimChance = 0.01; ///< Probability of reclaim of a live reclaimable host, per stream.
};

/// One run with its market, the input of the planner.
struct MovableRun
{
  CompletionRun* run = nullptr;
  Market* market = nullptr;
};

/// Moves the runs of one traffic thread away from leaving endpoints: describes the runs and the fleet to the
/// MovePlanner and applies the resulting plan to each run. PlanAll() is called after every fleet update and at an
/// interval while any endpoint is leaving; a run continues a move that it has started. Used on the runs' thread
/// only.
class MoveCoordinator
{
public:
  explicit MoveCoordinator(const MoveCoordinatorSettings& aSettings);

  /// Plans moves for all runs whose endpoint is leaving, and applies them.
  void PlanAll(std::span<const MovableRun> aRuns, const FleetSnapshot& aFleet,
               TimePoint aNow) const;

  /// Whether some endpoint of the fleet is leaving.
  [[nodiscard]] static bool IsAnyEndpointLeaving(const FleetSnapshot& aFleet);

private:
  [[nodiscard]] std::vector<MoveTarget> DescribeTargets(const FleetSnapshot& aFleet) const;
  [[nodiscard]] StreamView DescribeStream(const MovableRun& aRun, const Endpoint& aSource,
                                          const FleetSnapshot& aFleet, TimePoint aNow) const;
  [[nodiscard]] bool IsDomainLeaving(const FleetSnapshot& aFleet, std::string_view aDomain) const;

  MoveCoordinatorSettings settings;
  MovePlanner planner;
};

} // namespace lagoonward
