#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench reclaim`: streams leave one reclaimed failure domain, and a second one during the
/// moves, under the planner and under retry from scratch, on virtual time. Reports tokens recomputed
/// and their ratio to the baseline, the share of each way, the longest gap and what was lost.
/// Arguments: `--json`, `--seeds N`.
/// @return the program's exit code: 2 for wrong arguments
int
RunReclaimBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
