#pragma once

#include "Lagoonward/Core/Clock.h"

#include <optional>

namespace lagoonward {

/// Tunables of a DelayEstimator.
struct DelayEstimatorSettings
{
  /// The minimum delay is taken over at least this long, and at most twice as long. The minimum must expire
  /// because the clocks of two hosts drift apart by some milliseconds per minute.
  Milliseconds window{ 30'000 };

  /// A longer delay is implausible: it means that the sender's clock has restarted, and the estimate starts over.
  Milliseconds implausibleDelay{ 10'000 };
};

/// Estimates how much longer a message of one sender took than the fastest recent message, without synchronized clocks.
/// The difference between send time and arrival time is the delay plus an unknown clock offset; subtracting the minimum
/// difference (the "base delay" of RFC 6817) removes the offset. The delay common to all messages is removed as well;
/// between hosts of one deployment it is a few milliseconds. Not thread-safe.
class DelayEstimator
{
public:
  explicit DelayEstimator(const DelayEstimatorSettings& aSettings = {});

  /// Handles an arrived message.
  /// @param aSentAt  sender's monotonic clock at the time of sending, from any epoch
  /// @param aNow     this host's monotonic clock
  /// @return delay beyond that of the fastest recent message; zero for the first message
  [[nodiscard]] Milliseconds OnMessage(Milliseconds aSentAt, TimePoint aNow);

  /// Smallest recent difference between arrival time and send time: this host's clock minus the sender's, plus a delay
  /// that is never negative. Nothing before the first message.
  [[nodiscard]] std::optional<Milliseconds> BaseDifference() const;

private:
  void Restart(Milliseconds aDifference, TimePoint aNow);

  DelayEstimatorSettings settings;
  TimePoint windowStart;
  Milliseconds windowMinimum{ 0 };             ///< Smallest difference in the current window.
  std::optional<Milliseconds> previousMinimum; ///< Smallest difference in the previous window.
  bool hasSample = false;
};

} // namespace lagoonward
