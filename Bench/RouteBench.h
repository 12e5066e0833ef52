#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench route`: time and allocations of one routing decision at 13, 293 and 880 endpoints.
/// @return the program's exit code: 2 for invalid arguments
int
RunRouteBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
