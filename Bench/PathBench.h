#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench path`: cost of the complete request path. The daemon's caller interface, runs and
/// router serve loopback connections between load clients and an engine, all in this program. The baseline
/// is direct calls to the same engine in the same run. Processor time is that of the daemon's threads only.
/// @return the program's exit code: 2 for invalid arguments, 1 if a response failed or was incomplete
int
RunPathBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
