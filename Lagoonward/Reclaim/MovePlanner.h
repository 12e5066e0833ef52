#pragma once

#include "Lagoonward/Reclaim/ReclaimPolicy.h"
#include "Lagoonward/Reclaim/ReclaimSettings.h"

namespace lagoonward {

/// Chooses for each stream on a leaving endpoint the cheapest option that still meets its deadline. The cost
/// counts recomputed tokens, price, the output gap seen by the caller, the reclaim risk of the target and the
/// queue of earlier moves there (docs/design/moves.md). Never moves a stream to a leaving endpoint or into a
/// leaving failure domain. Continues a move that has started unless its target is unusable or its export is late.
class MovePlanner
{
public:
  explicit MovePlanner(const ReclaimSettings& aSettings);

  /// @param aStreams    streams on leaving or terminated endpoints
  /// @param aTargets    all endpoints that can be a target
  /// @param aObjective  weights of cost and recomputed tokens of the deployment
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
