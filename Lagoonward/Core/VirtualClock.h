#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// A clock that advances only through Advance() and Suspend(). Used by tests, benchmarks and fuzzers.
/// Not thread-safe.
class VirtualClock final : public Clock
{
public:
  /// Starts one hour after each clock's epoch, so that subtracting a short duration from a time stays positive.
  VirtualClock();

  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  [[nodiscard]] TimePoint BootNow() const override;

  /// Advances all three clocks.
  void Advance(std::chrono::nanoseconds aSpan);

  /// Advances only the clocks that count suspension (WallNow() and BootNow()), as on a suspended machine.
  void Suspend(std::chrono::nanoseconds aSpan);

private:
  std::chrono::nanoseconds elapsed;   ///< Time since the epochs, suspension excluded.
  std::chrono::nanoseconds suspended; ///< Total time spent suspended.
};

} // namespace lagoonward
