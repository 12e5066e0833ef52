#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// A clock that moves only when told to. Used by tests, benches and fuzzers. Not thread-safe.
class VirtualClock final : public Clock
{
public:
  /// Starts one hour after each clock's epoch, so that subtracting small spans stays positive.
  VirtualClock();

  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  [[nodiscard]] TimePoint BootNow() const override;

  /// Moves all three clocks forward.
  void Advance(std::chrono::nanoseconds aSpan);

  /// Moves only the clock that counts suspension, as a suspended machine would.
  void Suspend(std::chrono::nanoseconds aSpan);

private:
  std::chrono::nanoseconds elapsed;   ///< Time since the epochs, suspension excluded.
  std::chrono::nanoseconds suspended; ///< Total time spent suspended.
};

} // namespace lagoonward
