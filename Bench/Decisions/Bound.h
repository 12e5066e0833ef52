#pragma once

#include "Bench/Decisions/RunResult.h"
#include "Bench/Decisions/Scenario.h"
#include "Bench/Decisions/Tuning.h"

namespace lagoonward::bench {

/// Computes a lower bound of the cost of the workload under any policy. It assumes that each prompt block is computed
/// once in the run, that answers are generated in the largest batches that the class's target between tokens allows,
/// and that the cheapest host time is used first, at the price of that time. Arrival times, queues and cache limits
/// are ignored, so no policy can reach the bound.
[[nodiscard]] RunResult
ComputeBound(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& aTuning,
             std::uint64_t aSeed);

} // namespace lagoonward::bench
