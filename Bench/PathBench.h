#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench path`: what the whole request path costs. The daemon's caller interface, runs and
/// router serve real loopback connections between load clients and an engine of this program; direct
/// calls to the same engine in the same run are what the daemon is compared with. Processor time is
/// that of the daemon's threads alone.
/// @return the program's exit code: 2 for wrong arguments, 1 when an answer was not whole
int
RunPathBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
