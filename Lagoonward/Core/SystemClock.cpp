#include "Lagoonward/Core/SystemClock.h"

#include <ctime>

namespace lagoonward {

TimePoint
SystemClock::Now() const
{
  return std::chrono::steady_clock::now();
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

TimePoint
SystemClock::BootNow() const
{
  // On Linux, steady_clock does not advance during suspension; CLOCK_BOOTTIME does
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace lagoonward
