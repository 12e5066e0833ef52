#pragma once

#include "Lagoonward/Core/Error.h"

#include <random>

namespace lagoonward {

/// Tunables of a Backoff.
struct BackoffSettings
{
  Milliseconds first{ 100 };    ///< Longest delay after the first failure.
  Milliseconds longest{ 2000 }; ///< Delays double up to this.
};

/// Delays between attempts to reach the platform: doubling, with jitter over the upper half, so that
/// hundreds of daemons do not return from an outage at the same moment. Not thread-safe.
class Backoff
{
public:
  Backoff(BackoffSettings aSettings, std::uint64_t aSeed);

  /// Notes a failure.
  /// @return how long to wait; at least what the platform asked for
  [[nodiscard]] Milliseconds Next(const Error& aError);

  /// Notes a success.
  void Reset();

private:
  BackoffSettings settings;
  Milliseconds current; ///< Longest delay after the next failure.
  std::mt19937_64 random;
};

} // namespace lagoonward
