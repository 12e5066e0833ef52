#include "Lagoonward/Routing/CircuitBreaker.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Limits the doublings so that the open duration does not overflow. maxOpenFor is reached with far fewer.
constexpr int kMaxDoublings = 20;

} // namespace

bool
CircuitBreaker::Allows(const CircuitBreakerSettings& aSettings, TimePoint aNow) const
{
  return this->consecutiveFailures < aSettings.failuresToOpen || aNow >= this->openUntil;
}

void
CircuitBreaker::OnDispatched(const CircuitBreakerSettings& aSettings, TimePoint aNow)
{
  if (this->consecutiveFailures >= aSettings.failuresToOpen) {
    this->openUntil = aNow + this->OpenDuration(aSettings);
  }
}

void
CircuitBreaker::OnSuccess()
{
  this->consecutiveFailures = 0;
}

void
CircuitBreaker::OnFailure(const CircuitBreakerSettings& aSettings, TimePoint aNow)
{
  ++this->consecutiveFailures;
  if (this->consecutiveFailures >= aSettings.failuresToOpen) {
    this->openUntil = aNow + this->OpenDuration(aSettings);
  }
}

Milliseconds
CircuitBreaker::OpenDuration(const CircuitBreakerSettings& aSettings) const
{
  const int doublings =
    std::min(this->consecutiveFailures - aSettings.failuresToOpen, kMaxDoublings);
  return std::min<Milliseconds>(aSettings.openFor * (1LL << doublings), aSettings.maxOpenFor);
}

} // namespace lagoonward
