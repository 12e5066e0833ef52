#pragma once

#include "Lagoonward/Attempts/CompletionRun.h"
#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Reclaim/MovePlanner.h"

#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// What moves are reckoned with where nobody reports it.
struct MoveCoordinatorSettings
{
  ReclaimSettings planner;
  std::int64_t kvBytesPerToken = 65'536; ///< Size of one token's KV cache.
  double kvBytesPerSecond = 250e6;       ///< Speed of an export or import between two engines.
  double tokensPerSecond = 30;           ///< Of a stream that has not shown its speed.
  double prefillTokensPerSecond = 8'000; ///< Of any engine.
  int batchLimit = 64;                   ///< Streams that an engine is expected to run at once.
  double reclaimChance = 0.01;           ///< That a live reclaimable host goes during a stream.
};

/// One run with its market, as the planner needs it.
struct MovableRun
{
  CompletionRun* run = nullptr;
  Market* market = nullptr;
};

/// Brings the runs of one traffic thread off leaving endpoints: describes them and the fleet to the
/// MovePlanner and hands each run its plan. Called again with every news and at an interval while
/// anything leaves; a run keeps to a move that has begun. Called on the runs' own thread.
class MoveCoordinator
{
public:
  explicit MoveCoordinator(const MoveCoordinatorSettings& aSettings);

  /// Plans for all runs whose endpoint is leaving.
  void PlanAll(std::span<const MovableRun> aRuns, const FleetSnapshot& aFleet,
               TimePoint aNow) const;

  /// Whether some endpoint of the fleet is leaving.
  [[nodiscard]] static bool IsAnyLeaving(const FleetSnapshot& aFleet);

private:
  [[nodiscard]] std::vector<MoveTarget> DescribeTargets(const FleetSnapshot& aFleet) const;
  [[nodiscard]] StreamView DescribeStream(const MovableRun& aRun, const Endpoint& aSource,
                                          const FleetSnapshot& aFleet, TimePoint aNow) const;
  [[nodiscard]] bool IsDomainGoing(const FleetSnapshot& aFleet, std::string_view aDomain) const;

  MoveCoordinatorSettings settings;
  MovePlanner planner;
};

} // namespace lagoonward
