#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lagoonward {

/// Number of requests that have started to run, by client account.
using UsageCounts = std::map<std::string, std::int64_t, std::less<>>;

/// Usage by window; window k starts k window lengths after the start of 1970.
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// Time after its end within which a window may be reported. Reports are recorded in a log that retains its records for
/// 20 s: later it cannot be ruled out that a window is reported a second time.
inline constexpr Milliseconds kUsageReportPeriod{ 18'000 };

/// Wall-clock time that is unaffected by jumps of the host's clock: read once at construction, then advanced by the
/// clock that includes suspension. This keeps the windows of a daemon aligned with those of other daemons.
class MonotonicWallClock
{
public:
  explicit MonotonicWallClock(const Clock& aClock);

  [[nodiscard]] WallTime Now() const;

private:
  const Clock& clock;
  WallTime anchorWall;
  TimePoint anchorBoot;
};

/// Counts the requests of this daemon by account, for the windows that may still be reported. Thread-safe.
class UsageCounter
{
public:
  UsageCounter(Seconds aWindow, const Clock& aClock);

  /// Counts a request of an account that has started to run.
  void OnStarted(std::string_view aAccount);

  /// Counts of the retained windows, including the current one.
  [[nodiscard]] UsageByWindow Read() const;

  /// The oldest window that may still be reported.
  [[nodiscard]] std::int64_t OldestReportableWindow() const;

  /// The window of the current time.
  [[nodiscard]] std::int64_t CurrentWindow() const;

  /// Time since the end of a window; negative before its end.
  [[nodiscard]] Milliseconds TimeSinceEnd(std::int64_t aWindow) const;

private:
  [[nodiscard]] std::int64_t WindowAt(WallTime aTime) const;

  Seconds window;
  MonotonicWallClock wallClock;
  mutable std::mutex mutex; ///< Guards `windows`.
  UsageByWindow windows;
};

} // namespace lagoonward
