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
  // Newest first; stops at the first that the report already covers
  int count = 0;
  for (std::size_t back = 1; back <= kRecent; ++back) {
    if (this->times[(this->next + kRecent - back) % kRecent] <= aSince) {
      break;
    }
    ++count;
  }
  return count;
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
