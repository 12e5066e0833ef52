#include "Lagoonward/Routing/EndpointActivity.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Weight of the newest plain call: the last twenty or so count.
constexpr double kCallWeight = 0.05;

/// Bounds how much an endpoint that fails all calls is avoided, so that its recovery shows.
constexpr double kLeastWhole = 0.2;

} // namespace

void
EndpointActivity::Recent::Add(TimePoint aTime)
{
  this->times[this->next] = aTime;
  this->next = (this->next + 1) % kRecent;
}

int
EndpointActivity::Recent::CountSince(TimePoint aSince) const
{
  // Times only grow, so the first that the report covers, going back, is found by halving
  std::size_t later = 0;
  std::size_t covered = kRecent + 1;
  while (later + 1 < covered) {
    const std::size_t middle = (later + covered) / 2;
    const TimePoint time = this->times[(this->next + kRecent - middle) % kRecent];
    (time > aSince ? later : covered) = middle;
  }
  return static_cast<int>(later);
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
EndpointActivity::OnCallEnded(double aSeconds, bool aWhole)
{
  this->callFailures += kCallWeight * ((aWhole ? 0 : 1) - this->callFailures);
  if (aWhole) {
    this->callSeconds = this->callSeconds > 0
                          ? this->callSeconds + kCallWeight * (aSeconds - this->callSeconds)
                          : aSeconds;
  }
}

double
EndpointActivity::CallCost() const
{
  // A failed call costs its caller more than the time to try again
  const double whole = std::max(1 - this->callFailures, kLeastWhole);
  return this->callSeconds / (whole * whole * whole);
}

int
EndpointActivity::NetSince(TimePoint aSince) const
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
  for (int priority = aPriority; priority < kLevels; ++priority) {
    sum += this->prefillPending[static_cast<std::size_t>(priority)];
  }
  return sum;
}

} // namespace lagoonward
