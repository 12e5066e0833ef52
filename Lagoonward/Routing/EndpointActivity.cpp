#include "Lagoonward/Routing/EndpointActivity.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Weight of the newest plain call in the moving averages, which cover about the last 20 calls.
constexpr double kCallAverageWeight = 0.05;

/// Lower bound of the success rate in ExpectedCallSeconds(). An endpoint that fails all calls still gets some, so that
/// its recovery is detected.
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
  // The times ascend, so a binary search backwards finds the newest event that is not after aSince
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
  // The cube of the success rate: a failed call costs the caller more than the time of the retry
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
