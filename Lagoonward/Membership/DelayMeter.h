#pragma once

#include "Lagoonward/Core/Clock.h"

#include <optional>

namespace lagoonward {

/// Tunables of a delay meter.
struct DelayMeterSettings
{
  /// A quickest message is gone by for at least this long, and at most twice as long. Clocks of two hosts drift apart by
  /// some milliseconds a minute.
  Milliseconds window{ 30'000 };

  /// No message is on its way for longer: its sender's clock has begun anew.
  Milliseconds implausible{ 10'000 };
};

/// Tells how much longer messages of one sender took than its quickest of late, though the two hosts' clocks have
/// nothing in common: of the difference between sending and arrival, which is the delay and an unknown offset, the
/// least one is taken away (the "base delay" of RFC 6817). What all messages take is not seen; between hosts of
/// one deployment that is a few milliseconds. Not thread-safe.
class DelayMeter
{
public:
  explicit DelayMeter(const DelayMeterSettings& aSettings = {});

  /// A message has come.
  /// @param aSentAt  its sender's monotonic clock when it was sent, from any beginning
  /// @param aNow     this host's monotonic clock
  /// @return how much longer than the quickest it took; zero for the first
  [[nodiscard]] Milliseconds OnMessage(Milliseconds aSentAt, TimePoint aNow);

private:
  void Restart(Milliseconds aDifference, TimePoint aNow);

  DelayMeterSettings settings;
  TimePoint windowBegan;
  Milliseconds least{ 0 };             ///< Difference of this window's quickest message.
  std::optional<Milliseconds> earlier; ///< The same of the window before.
  bool hasHeard = false;
};

} // namespace lagoonward
