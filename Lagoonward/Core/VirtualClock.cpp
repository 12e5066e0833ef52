#include "Lagoonward/Core/VirtualClock.h"

namespace lagoonward {

VirtualClock::VirtualClock()
  : elapsed(std::chrono::hours(1))
  , suspended(0)
{
}

TimePoint
VirtualClock::Now() const
{
  return TimePoint(this->elapsed);
}

WallTime
VirtualClock::WallNow() const
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(this->elapsed + this->suspended));
}

TimePoint
VirtualClock::BootNow() const
{
  return TimePoint(this->elapsed + this->suspended);
}

void
VirtualClock::Advance(std::chrono::nanoseconds aSpan)
{
  this->elapsed += aSpan;
}

void
VirtualClock::Suspend(std::chrono::nanoseconds aSpan)
{
  this->suspended += aSpan;
}

} // namespace lagoonward
