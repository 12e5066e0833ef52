#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lagoonward {

/// Requests that began to run, by client account.
using UsageCounts = std::map<std::string, std::int64_t, std::less<>>;

/// Usage by window; window k begins k window lengths after the start of 1970.
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// For so long after its end a window may be reported. What has been reported stands in a log that keeps its records for
/// 20 s: later nobody can be sure that a window is not reported a second time.
inline constexpr Milliseconds kUsageReportable{ 18'000 };

/// Tells calendar time without following jumps of the host's clock: anchored once, then moved on by the
/// clock that counts suspension. A daemon's usage then falls into the windows of the others.
class SteadyCalendar
{
public:
  explicit SteadyCalendar(const Clock& aClock);

  [[nodiscard]] WallTime Now() const;

private:
  const Clock& clock;
  WallTime anchorWall;
  TimePoint anchorBoot;
};

/// Counts what this daemon's requests use, for the windows that may still be reported. Thread-safe.
class UsageCounter
{
public:
  UsageCounter(Seconds aWindow, const Clock& aClock);

  /// A request of an account has begun to run.
  void OnBegan(std::string_view aAccount);

  /// Counts so far of the windows that are still kept, the current one included.
  [[nodiscard]] UsageByWindow Read() const;

  /// The oldest window that may still be reported.
  [[nodiscard]] std::int64_t OldestReportable() const;

  /// The window that runs now.
  [[nodiscard]] std::int64_t CurrentWindow() const;

  /// Time since the end of a window; negative before.
  [[nodiscard]] Milliseconds SinceEndOf(std::int64_t aWindow) const;

private:
  [[nodiscard]] std::int64_t WindowAt(WallTime aTime) const;

  Seconds window;
  SteadyCalendar calendar;
  mutable std::mutex mutex; ///< Guards `windows`.
  UsageByWindow windows;
};

} // namespace lagoonward
