#pragma once

#include "Lagoonward/Core/Error.h"

#include <random>

namespace lagoonward {

/// Settings of a Backoff.
struct BackoffSettings
{
  Milliseconds initialDelay{ 100 };  ///< Upper bound of the delay after the first failure.
  Milliseconds maximumDelay{ 2000 }; ///< Limit up to which the bound doubles.
};

/// Exponential backoff between attempts to call the platform. The delay is random within the upper half of its bound,
/// so that hundreds of daemons do not retry at the same moment after an outage. Not thread-safe.
class Backoff
{
public:
  Backoff(BackoffSettings aSettings, std::uint64_t aSeed);

  /// Records a failure.
  /// @return the delay before the next attempt; at least the platform's `retryAfter`
  [[nodiscard]] Milliseconds Next(const Error& aError);

  /// Records a success: the next delay starts from the initial bound again.
  void Reset();

private:
  BackoffSettings settings;
  Milliseconds bound; ///< Upper bound of the delay after the next failure.
  std::mt19937_64 random;
};

} // namespace lagoonward
