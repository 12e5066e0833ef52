#pragma once

#include <ctime>

namespace lagoonward::bench {

/// Processor time of the calling thread, in seconds.
[[nodiscard]] inline double
ThreadSeconds()
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

} // namespace lagoonward::bench
