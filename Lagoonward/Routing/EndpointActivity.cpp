#include "Lagoonward/Routing/EndpointActivity.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Weight of the newest plain call: the last twenty or so count.
constexpr double kCallAverageWeight = 0.05;

/// Bounds how much an endpoint that fails all calls is avoided, so that its recovery shows.
constexpr double kMinSuccessRate = 0.2;

} // namespace

void
EndpointActivity::RecentEvents::Add(TimePoint aTime)
{
  this->times[this->next] = aTime;
  this->next = (this->next + 1) % kRecentEvents;
}

int
EndpointActivity::RecentEvents::CountSince(TimePoint aSince) const
{
  // Times only grow, so the first that the report covers, going back, is found by halving
  std::size_t newer = 0;
  std::size_t covered = kRecentEvents + 1;
  while (newer + 1 < covered) {
    const std::size_t middle = (newer + covered) / 2;
    const TimePoint time = this->times[(this->next + kRecentEvents - middle) % kRecentEvents];
    (time > aSince ? newer : covered) = middle;
  }
  return static_cast<int>(newer);
}

EndpointActivity::EndpointActivity(std::uint64_t aKey, TimePoint aFirstSeen)
  : key(aKey)
  , firstSeen(aFirstSeen)
{
}

void
EndpointActivity::OnDispatched(TimePoint aNow, int aUncachedTokens, int aPriority)
{
  this->dispatched.Add(aNow);
  this->inFlight++;
  this->prefillPending[static_cast<std::size_t>(aPriority)] += aUncachedTokens;
}

void
EndpointActivity::OnFirstToken(int aUncachedTokens, int aPriority)
{
  int& pending = this->prefillPending[static_cast<std::size_t>(aPriority)];
  pending = std::max(pending - aUncachedTokens, 0);
}

void
EndpointActivity::OnFinished(TimePoint aNow)
{
  this->finished.Add(aNow);
  this->inFlight = std::max(this->inFlight - 1, 0);
}

void
EndpointActivity::OnCallEnded(double aSeconds, bool aSucceeded)
{
  this->callFailureRate += kCallAverageWeight * ((aSucceeded ? 0 : 1) - this->callFailureRate);
  if (aSucceeded) {
    this->callSeconds = this->callSeconds > 0
                          ? this->callSeconds + kCallAverageWeight * (aSeconds - this->callSeconds)
                          : aSeconds;
  }
}

double
EndpointActivity::ExpectedCallSeconds() const
{
  // A failed call costs its caller more than the time to try again
  const double successRate = std::max(1 - this->callFailureRate, kMinSuccessRate);
  return this->callSeconds / (successRate * successRate * successRate);
}

int
EndpointActivity::InFlightChangeSince(TimePoint aSince) const
{
  return this->dispatched.CountSince(aSince) - this->finished.CountSince(aSince);
}

int
EndpointActivity::DispatchedSince(TimePoint aSince) const
{
  return this->dispatched.CountSince(aSince);
}

int
EndpointActivity::PrefillPending(int aPriority) const
{
  int sum = 0;
  for (int priority = aPriority; priority < kPriorityLevels; ++priority) {
    sum += this->prefillPending[static_cast<std::size_t>(priority)];
  }
  return sum;
}

} // namespace lagoonward
