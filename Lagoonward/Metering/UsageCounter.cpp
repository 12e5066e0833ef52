#include "Lagoonward/Metering/UsageCounter.h"

namespace lagoonward {

MonotonicWallClock::MonotonicWallClock(const Clock& aClock)
  : clock(aClock)
  , anchorWall(aClock.WallNow())
  , anchorBoot(aClock.BootNow())
{
}

WallTime
MonotonicWallClock::Now() const
{
  const auto elapsed = this->clock.BootNow() - this->anchorBoot;
  return this->anchorWall + std::chrono::duration_cast<WallTime::duration>(elapsed);
}

UsageCounter::UsageCounter(Seconds aWindow, const Clock& aClock)
  : window(aWindow)
  , wallClock(aClock)
{
}

void
UsageCounter::OnStarted(std::string_view aAccount)
{
  const std::int64_t current = this->CurrentWindow();
  const std::lock_guard lock(this->mutex);
  UsageCounts& counts = this->windows[current];
  const auto known = counts.find(aAccount);
  if (known == counts.end()) {
    counts.emplace(aAccount, 1);
  } else {
    ++known->second;
  }
  const std::int64_t oldest = this->OldestReportableWindow();
  std::erase_if(this->windows, [&](const auto& aEntry) { return aEntry.first < oldest; });
}

UsageByWindow
UsageCounter::Read() const
{
  const std::lock_guard lock(this->mutex);
  return this->windows;
}

std::int64_t
UsageCounter::WindowAt(WallTime aTime) const
{
  const std::int64_t length = std::chrono::duration_cast<Milliseconds>(this->window).count();
  return ToUnixMilliseconds(aTime) / length;
}

std::int64_t
UsageCounter::OldestReportableWindow() const
{
  return this->WindowAt(this->wallClock.Now() - kUsageReportPeriod);
}

std::int64_t
UsageCounter::CurrentWindow() const
{
  return this->WindowAt(this->wallClock.Now());
}

Milliseconds
UsageCounter::TimeSinceEnd(std::int64_t aWindow) const
{
  const std::int64_t length = std::chrono::duration_cast<Milliseconds>(this->window).count();
  return Milliseconds(ToUnixMilliseconds(this->wallClock.Now()) - (aWindow + 1) * length);
}

} // namespace lagoonward
