#pragma once

#include "Lagoonward/Reclaim/ReclaimPolicy.h"
#include "Lagoonward/Reclaim/ReclaimSettings.h"

namespace lagoonward {

/// Chooses for each stream on a leaving endpoint the cheapest way out that still meets its deadline.
/// Weighs tokens computed again, price, the caller's gap, the risk of the target and the queue that
/// earlier moves build up there (docs/design/moves.md). Never sends a stream to an endpoint or into a
/// failure domain that is itself going. Keeps a move that has begun unless its target goes.
class MovePlanner
{
public:
  explicit MovePlanner(const ReclaimSettings& aSettings);

  /// @param aStreams    streams on leaving or dead endpoints
  /// @param aTargets    every endpoint that might take one
  /// @param aObjective  what the deployment weighs
  /// @return one plan per stream, in the order of aStreams
  [[nodiscard]] std::vector<MovePlan> PlanMoves(std::span<const StreamView> aStreams,
                                                std::span<const MoveTarget> aTargets,
                                                const ManifestObjective& aObjective,
                                                TimePoint aNow) const;

private:
  ReclaimSettings settings;
};

static_assert(ReclaimPolicy<MovePlanner>);

} // namespace lagoonward
