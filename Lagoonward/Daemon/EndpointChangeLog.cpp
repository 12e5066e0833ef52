#include "Lagoonward/Daemon/EndpointChangeLog.h"

#include <algorithm>
#include <utility>

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
  this->fullRead.reset();
}

void
EndpointChangeLog::Add(const EndpointRecord& aRecord, bool aIsInferred, TimePoint aNow)
{
  if (this->isStarted) {
    this->changes.push_back({ aNow, aIsInferred, aRecord });
  }
}

void
EndpointChangeLog::AddFullRead(EndpointFullRead aFullRead, TimePoint aNow)
{
  if (this->isStarted) {
    this->fullRead = std::move(aFullRead);
    this->fullReadAt = aNow;
  }
}

void
EndpointChangeLog::DropExpired(TimePoint aNow)
{
  while (!this->changes.empty() && this->changes.front().addedAt + this->retention < aNow) {
    this->firstVersion = std::max(this->firstVersion, this->changes.front().record.version.Next());
    this->changes.pop_front();
  }
  if (this->fullRead && this->fullReadAt + this->retention < aNow) {
    this->firstVersion = std::max(this->firstVersion, this->fullRead->end);
    this->fullRead.reset();
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

std::optional<EndpointFullRead>
EndpointChangeLog::FullReadAfter(LogPosition aVersion) const
{
  return this->fullRead && this->fullRead->end > aVersion ? this->fullRead : std::nullopt;
}

} // namespace lagoonward
