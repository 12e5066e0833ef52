#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"

namespace lagoonward {

/// Circuit breaker of one endpoint. CircuitBreakerSettings::failuresToOpen consecutive failures open it: no request
/// is sent for openFor. Then it is half open and lets one trial request through: success closes it, failure opens it
/// for twice as long, up to maxOpenFor. Not thread-safe.
class CircuitBreaker
{
public:
  /// Whether a request may be sent to the endpoint at aNow.
  [[nodiscard]] bool Allows(const CircuitBreakerSettings& aSettings, TimePoint aNow) const;

  /// Records that a request was sent. While the breaker is half open this is the trial request: no other is let
  /// through until its outcome is known or the open duration has passed again.
  void OnDispatched(const CircuitBreakerSettings& aSettings, TimePoint aNow);

  void OnSuccess();
  void OnFailure(const CircuitBreakerSettings& aSettings, TimePoint aNow);

private:
  [[nodiscard]] Milliseconds OpenDuration(const CircuitBreakerSettings& aSettings) const;

  int consecutiveFailures = 0;
  /// No request is let through before this time once the failure limit is reached.
  TimePoint openUntil;
};

} // namespace lagoonward
