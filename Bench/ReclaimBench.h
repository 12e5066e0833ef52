#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench reclaim`: moves streams off one reclaimed failure domain, and off a second one that
/// is reclaimed during the moves, with the planner and with retry from scratch, in virtual time. Reports
/// the recomputed tokens and their ratio to the baseline, the share of each kind of move, the longest gap
/// between tokens and the lost streams.
/// Arguments: `--json`, `--seeds N`.
/// @return the program's exit code: 2 for invalid arguments
int
RunReclaimBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
