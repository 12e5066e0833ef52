#pragma once

#include <chrono>

namespace lagoonward {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Source of time. Every module takes it by reference, so that tests and benchmarks can pass a VirtualClock
/// instead of the system clock.
class Clock
{
public:
  virtual ~Clock() = default;

  /// Monotonic time that does not advance while the machine is suspended.
  [[nodiscard]] virtual TimePoint Now() const = 0;

  /// Calendar time, for timestamps that are exchanged with other hosts. May jump.
  [[nodiscard]] virtual WallTime WallNow() const = 0;

  /// Monotonic time that also advances during suspension. Lease expiry is checked against this clock.
  [[nodiscard]] virtual TimePoint BootNow() const = 0;
};

/// A duration in seconds, including fractions of a second.
[[nodiscard]] inline double
ToSeconds(TimePoint::duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t
ToUnixMilliseconds(WallTime aTime);

/// Inverse of ToUnixMilliseconds().
[[nodiscard]] WallTime
FromUnixMilliseconds(std::int64_t aMilliseconds);

/// A duration multiplied by a factor, truncated to whole milliseconds.
[[nodiscard]] inline Milliseconds
Scale(Milliseconds aSpan, double aFactor)
{
  return Milliseconds(static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * aFactor));
}

} // namespace lagoonward
