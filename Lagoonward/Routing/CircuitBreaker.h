#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"

namespace lagoonward {

/// Keeps requests from an endpoint that keeps failing. After some failures in a row it opens for a
/// while, then lets one trial through: success closes it, failure opens it for twice as long.
/// Not thread-safe.
class CircuitBreaker
{
public:
  /// Whether a request may go there now.
  [[nodiscard]] bool Allows(const CircuitBreakerSettings& aSettings, TimePoint aNow) const;

  /// A request was sent. While half open it is the trial, and no other goes until its outcome, or
  /// until the pause has passed again.
  void OnDispatched(const CircuitBreakerSettings& aSettings, TimePoint aNow);

  void OnSuccess();
  void OnFailure(const CircuitBreakerSettings& aSettings, TimePoint aNow);

private:
  [[nodiscard]] Milliseconds OpenDuration(const CircuitBreakerSettings& aSettings) const;

  int consecutiveFailures = 0;    ///< In a row.
  TimePoint openUntil; ///< No request before, once `failures` has reached the limit.
};

} // namespace lagoonward
