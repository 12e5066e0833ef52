#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Reclaim/MoveTypes.h"

#include <concepts>
#include <span>
#include <vector>

namespace lagoonward {

/// A policy that plans moves for the streams of leaving endpoints: one plan per stream, in input order.
/// A pure function: equal input gives equal plans, so repeating a planning step is always safe.
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
