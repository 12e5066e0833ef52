#pragma once

#include "Bench/Decisions/RunResult.h"
#include "Bench/Decisions/Scenario.h"
#include "Bench/Decisions/Tuning.h"

namespace lagoonward::bench {

/// A lower bound of what any policy can pay for the workload: each prompt block is computed once in the
/// whole run, each answer is generated in batches as large as its class's target between tokens
/// lets an engine run, and all of it fills the cheapest hosts' time first, at the price then asked.
/// Arrival times, queues and cache limits are left out, so no policy can reach it.
[[nodiscard]] RunResult
ComputeBound(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& aTuning,
             std::uint64_t aSeed);

} // namespace lagoonward::bench
