#pragma once

#include "Lagoonward/Reclaim/ReclaimPolicy.h"

namespace lagoonward {

/// The baseline of the bench: a stream runs until its endpoint has gone, and then begins again from
/// its prompt on the candidate with the most free slots. Tokens generated so far are computed again.
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
