#pragma once

#include <set>
#include <string>

namespace lagoonward::bench {

/// Ids of the threads that this process has now.
[[nodiscard]] std::set<std::string>
ListThreads();

/// Processor time of some threads so far, in seconds. Threads that have ended count as nothing.
[[nodiscard]] double
ProcessorSeconds(const std::set<std::string>& aThreads);

/// Resident memory of this process in MB of 2^20 bytes, after giving free memory back.
[[nodiscard]] double
ResidentMegabytes();

} // namespace lagoonward::bench
