#pragma once

#include <cstdint>

namespace lagoonward::bench {

/// Number of calls of operator new on the calling thread. The benchmark program replaces the global
/// operators new and delete to count them; see AllocationCount.cpp.
[[nodiscard]] std::uint64_t
AllocationCount();

} // namespace lagoonward::bench
