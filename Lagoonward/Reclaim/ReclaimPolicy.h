#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Reclaim/MoveTypes.h"

#include <concepts>
#include <span>
#include <vector>

namespace lagoonward {

/// A way to decide where the streams of leaving endpoints go: one plan per stream, in their order.
/// Pure: the same input gives the same plans, so that planning again is always safe.
template<typename Policy>
concept ReclaimPolicy = requires(const Policy aPolicy, std::span<const StreamView> aStreams,
                                 std::span<const MoveTarget> aTargets,
                                 const ManifestObjective& aObjective, TimePoint aNow)
{
  {
    aPolicy.PlanMoves(aStreams, aTargets, aObjective, aNow)
    } -> std::same_as<std::vector<MovePlan>>;
};

} // namespace lagoonward
