#pragma once

#include "Lagoonward/Reclaim/ReclaimPolicy.h"

namespace lagoonward {

/// The baseline policy of the benchmark: a stream runs until its endpoint terminates and is then restarted
/// from its prompt on the candidate with the most free slots. All generated tokens are recomputed.
class RetryFromScratch
{
public:
  [[nodiscard]] std::vector<MovePlan> PlanMoves(std::span<const StreamView> aStreams,
                                                std::span<const MoveTarget> aTargets,
                                                const ManifestObjective& aObjective,
                                                TimePoint aNow) const;
};

static_assert(ReclaimPolicy<RetryFromScratch>);

} // namespace lagoonward
