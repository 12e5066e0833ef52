#include "Lagoonward/Daemon/EndpointChangeLog.h"

#include <algorithm>

namespace lagoonward {

EndpointChangeLog::EndpointChangeLog(Milliseconds aRetention)
  : retention(aRetention)
{
}

void
EndpointChangeLog::StartAt(LogPosition aFirstVersion)
{
  this->isStarted = true;
  this->firstVersion = aFirstVersion;
  this->changes.clear();
}

void
EndpointChangeLog::Add(const EndpointRecord& aRecord, bool aIsInferred, TimePoint aNow)
{
  if (this->isStarted) {
    this->changes.push_back({ aNow, aIsInferred, aRecord });
  }
}

void
EndpointChangeLog::DropExpired(TimePoint aNow)
{
  while (!this->changes.empty() && this->changes.front().addedAt + this->retention < aNow) {
    this->firstVersion = std::max(this->firstVersion, this->changes.front().record.version.Next());
    this->changes.pop_front();
  }
}

std::vector<EndpointRecord>
EndpointChangeLog::ChangesFrom(LogPosition aVersion) const
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
