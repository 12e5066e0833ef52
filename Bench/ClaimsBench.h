#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench claims`: how many claims share an append, how long a claim waits, and what claims
/// cost in bytes, memory and processor time, for several shares of non-idempotent requests. The real
/// batcher runs on a virtual clock against a log in memory; processor time and memory are measured.
/// @return the program's exit code: 2 for wrong arguments
int
RunClaimsBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
