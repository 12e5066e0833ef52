#include "Lagoonward/Routing/EndpointActivity.h"

#include <algorithm>

namespace lagoonward {

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
