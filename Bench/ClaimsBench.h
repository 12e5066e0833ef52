#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench claims`: claims per append, waiting time of a claim, and bytes, memory and processor
/// time per claim, for several shares of non-idempotent requests. The production ClaimBatcher runs on a
/// virtual clock against an in-memory log; processor time and memory are measured on the real machine.
/// @return the program's exit code: 2 for invalid arguments
int
RunClaimsBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
