#include "Lagoonward/Routing/CircuitBreaker.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Doublings beyond which the pause would overflow; the longest pause is reached long before.
constexpr int kMaxDoublings = 20;

} // namespace

bool
CircuitBreaker::Allows(const CircuitBreakerSettings& aSettings, TimePoint aNow) const
{
  return this->failures < aSettings.failuresToOpen || aNow >= this->openUntil;
}

void
CircuitBreaker::OnDispatched(const CircuitBreakerSettings& aSettings, TimePoint aNow)
{
  if (this->failures >= aSettings.failuresToOpen) {
    this->openUntil = aNow + this->Pause(aSettings);
  }
}

void
CircuitBreaker::OnSuccess()
{
  this->failures = 0;
}

void
CircuitBreaker::OnFailure(const CircuitBreakerSettings& aSettings, TimePoint aNow)
{
  ++this->failures;
  if (this->failures >= aSettings.failuresToOpen) {
    this->openUntil = aNow + this->Pause(aSettings);
  }
}

Milliseconds
CircuitBreaker::Pause(const CircuitBreakerSettings& aSettings) const
{
  const int doublings = std::min(this->failures - aSettings.failuresToOpen, kMaxDoublings);
  return std::min<Milliseconds>(aSettings.openFor * (1LL << doublings), aSettings.maxOpenFor);
}

} // namespace lagoonward
