#pragma once

#include <set>
#include <string>

namespace lagoonward::bench {

/// Ids of the current threads of this process.
[[nodiscard]] std::set<std::string>
ListThreads();

/// Total processor time of the given threads, in seconds. Threads that have ended count as zero.
[[nodiscard]] double
ProcessorSeconds(const std::set<std::string>& aThreads);

/// Resident memory of this process in MB of 2^20 bytes, after releasing free memory to the operating system.
[[nodiscard]] double
ResidentMegabytes();

} // namespace lagoonward::bench
