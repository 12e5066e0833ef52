#include "Lagoonward/Daemon/EndpointChanges.h"

#include <algorithm>

namespace lagoonward {

EndpointChanges::EndpointChanges(Milliseconds aKept)
  : kept(aKept)
{
}

void
EndpointChanges::Begin(std::int64_t aFrom)
{
  this->hasBegun = true;
  this->from = aFrom;
  this->changes.clear();
}

void
EndpointChanges::Add(const EndpointRecord& aRecord, bool aIsInferred, TimePoint aNow)
{
  if (this->hasBegun) {
    this->changes.push_back({ aNow, aIsInferred, aRecord });
  }
}

void
EndpointChanges::Forget(TimePoint aNow)
{
  while (!this->changes.empty() && this->changes.front().at + this->kept < aNow) {
    this->from = std::max(this->from, this->changes.front().record.version + 1);
    this->changes.pop_front();
  }
}

std::vector<EndpointRecord>
EndpointChanges::Since(std::int64_t aVersion) const
{
  std::vector<EndpointRecord> found;
  for (const Change& change : this->changes) {
    if (change.isInferred || change.record.version >= aVersion) {
      found.push_back(change.record);
    }
  }
  return found;
}

} // namespace lagoonward
