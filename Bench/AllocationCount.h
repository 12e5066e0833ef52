#pragma once

#include <cstdint>

namespace lagoonward::bench {

/// How often this thread has called operator new. The bench program replaces the global operators to
/// count; see AllocationCount.cpp.
[[nodiscard]] std::uint64_t
AllocationCount();

} // namespace lagoonward::bench
