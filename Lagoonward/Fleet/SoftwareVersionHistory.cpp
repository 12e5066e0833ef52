#include "Lagoonward/Fleet/SoftwareVersionHistory.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// A longer pause between two current snapshots is a gap: endpoints may have come and gone within it.
constexpr Milliseconds kLongestPause{ 5'000 };

/// Versions that have not run for this long are forgotten.
constexpr Milliseconds kRetention = Seconds(600);

} // namespace

std::optional<std::string>
ServiceVersions::Sole() const
{
  return this->isComplete && this->count == 1 ? std::optional(this->version) : std::nullopt;
}

SoftwareVersionHistory::SoftwareVersionHistory(const Clock& aClock)
  : clock(aClock)
{
}

void
SoftwareVersionHistory::OnSnapshot(const FleetSnapshot& aFleet)
{
  const TimePoint now = this->clock.BootNow();
  const std::lock_guard lock(this->mutex);
  for (auto& [service, versions] : this->lastSeen) {
    for (auto& [version, seenAt] : versions) {
      seenAt = std::min(seenAt, now);
    }
    std::erase_if(versions, [&](const auto& aEach) { return now - aEach.second > kRetention; });
  }
  for (const Endpoint& endpoint : aFleet.endpoints) {
    this->lastSeen[endpoint.name][endpoint.softwareVersion] = TimePoint::max();
  }
  std::erase_if(this->lastSeen, [](const auto& aService) { return aService.second.empty(); });
}

void
SoftwareVersionHistory::OnCurrent(TimePoint aAsOf)
{
  const std::lock_guard lock(this->mutex);
  if (!this->asOf || aAsOf - *this->asOf > kLongestPause) {
    this->knownSince = aAsOf;
  }
  this->asOf = std::max(this->asOf.value_or(aAsOf), aAsOf);
}

void
SoftwareVersionHistory::OnRecorded(const VersionsByService& aRecorded, TimePoint aReadAt)
{
  const TimePoint now = this->clock.BootNow();
  const std::lock_guard lock(this->mutex);
  for (const auto& [service, versions] : aRecorded) {
    for (const std::string& version : versions) {
      const auto [seen, isNew] = this->lastSeen[service].try_emplace(version, now);
      seen->second = std::max(seen->second, now);
    }
  }
  this->recordReadAt = aReadAt;
}

bool
SoftwareVersionHistory::IsRecordUpToDate() const
{
  return this->recordReadAt && *this->recordReadAt >= this->knownSince;
}

bool
SoftwareVersionHistory::IsCurrent(TimePoint aNow) const
{
  return this->asOf && aNow - *this->asOf <= kLongestPause;
}

bool
SoftwareVersionHistory::NeedsRecord()
{
  const std::lock_guard lock(this->mutex);
  return this->IsCurrent(this->clock.BootNow()) && !this->IsRecordUpToDate();
}

std::optional<VersionsByService>
SoftwareVersionHistory::AllVersions(Milliseconds aDuring)
{
  const TimePoint now = this->clock.BootNow();
  const std::lock_guard lock(this->mutex);
  if (!this->IsCurrent(now) || !this->IsRecordUpToDate()) {
    return std::nullopt;
  }
  VersionsByService all;
  for (const auto& [service, versions] : this->lastSeen) {
    for (const auto& [version, seenAt] : versions) {
      if (seenAt >= now - aDuring) {
        all[service].insert(version);
      }
    }
  }
  return all;
}

bool
SoftwareVersionHistory::IsCurrentAsOf(TimePoint aTime)
{
  const std::lock_guard lock(this->mutex);
  return this->asOf && *this->asOf >= aTime;
}

ServiceVersions
SoftwareVersionHistory::VersionsOf(std::string_view aService, Milliseconds aDuring)
{
  const TimePoint now = this->clock.BootNow();
  const TimePoint begin = now - aDuring;
  const std::lock_guard lock(this->mutex);
  ServiceVersions result;
  result.isComplete =
    this->IsCurrent(now) && (this->knownSince <= begin || this->IsRecordUpToDate());
  const auto found = this->lastSeen.find(aService);
  if (found == this->lastSeen.end()) {
    return result;
  }
  for (const auto& [version, seenAt] : found->second) {
    if (seenAt >= begin) {
      ++result.count;
      result.version = version;
    }
  }
  return result;
}

} // namespace lagoonward
