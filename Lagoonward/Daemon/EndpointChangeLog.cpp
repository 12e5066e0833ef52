#include "Lagoonward/Daemon/EndpointChangeLog.h"

#include <algorithm>

namespace lagoonward {

std::size_t
EncodedBytes(const EndpointRecord& aRecord)
{
  constexpr std::size_t kFixedBytes = 64; ///< Of the lengths and the other fields.
  return kFixedBytes + aRecord.id.size() + aRecord.text.size();
}

std::size_t
EncodedBytes(std::span<const EndpointRecord> aRecords)
{
  std::size_t bytes = 0;
  for (const EndpointRecord& record : aRecords) {
    bytes += EncodedBytes(record);
  }
  return bytes;
}

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

EndpointChangeLog::Part
EndpointChangeLog::ChangesFrom(LogPosition aVersion, std::size_t aMaximumBytes) const
{
  Part part;
  for (const Change& change : this->changes) {
    if (change.isInferred || change.record.version >= aVersion) {
      part.records.push_back(change.record);
    }
  }
  if (part.records.size() <= 1 || EncodedBytes(part.records) <= aMaximumBytes) {
    return part;
  }
  std::stable_sort(part.records.begin(), part.records.end(),
                   [](const EndpointRecord& aLeft, const EndpointRecord& aRight) {
                     return aLeft.version < aRight.version;
                   });
  std::size_t bytes = EncodedBytes(part.records.front());
  std::size_t count = 1;
  while (bytes + EncodedBytes(part.records[count]) <= aMaximumBytes) {
    bytes += EncodedBytes(part.records[count++]);
  }
  part.endVersion = part.records[count].version;
  part.records.resize(count);
  return part;
}

} // namespace lagoonward
