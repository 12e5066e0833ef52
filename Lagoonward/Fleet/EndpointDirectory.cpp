#include "Lagoonward/Fleet/EndpointDirectory.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

EndpointDirectory::EndpointDirectory(const EndpointDirectorySettings& aSettings,
                                     const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

EntryOutcome
EndpointDirectory::OnEntry(Endpoint aEndpoint, bool aIsConfirmed)
{
  Entry& entry = this->entries[aEndpoint.id];
  if (aEndpoint.incarnation < entry.endpoint.incarnation) {
    return EntryOutcome::Unchanged;
  }
  if (aEndpoint.incarnation > entry.endpoint.incarnation) {
    entry = {};
  }
  const bool hadLeft = entry.hasLeft;
  if (hadLeft && !aIsConfirmed && ++entry.recordsSinceRemoval < this->settings.recordsOfReturn) {
    return EntryOutcome::Unchanged;
  }
  const Endpoint& known = entry.endpoint;
  // Leaving is final for an instance; an older entry may still arrive late
  if (known.state == EndpointState::Leaving) {
    aEndpoint.state = EndpointState::Leaving;
  }
  const bool changed = entry.hold.has_value() || entry.removedAt.has_value() || entry.unreadable ||
                       known.id != aEndpoint.id || known.address != aEndpoint.address ||
                       known.port != aEndpoint.port || known.state != aEndpoint.state ||
                       known.name != aEndpoint.name ||
                       known.softwareVersion != aEndpoint.softwareVersion;
  entry = {};
  entry.endpoint = std::move(aEndpoint);
  if (!changed) {
    return EntryOutcome::Unchanged;
  }
  return hadLeft ? EntryOutcome::Returned : EntryOutcome::Changed;
}

bool
EndpointDirectory::OnUnreadable(const std::string& aId)
{
  const auto found = this->entries.find(aId);
  return found != this->entries.end() && !std::exchange(found->second.unreadable, true);
}

TimePoint
EndpointDirectory::OutageEnd() const
{
  // Entries of live endpoints expire only if the source itself is unavailable. If a removal were delayed because only
  // this host cannot reach the source, it would take effect too late: leaving endpoints must be known sooner. Nor do they
  // expire while the source does not answer for less than the shortest outage, as when it refuses a call
  const TimePoint endHere = this->sourceAvailable ? *this->outageEnd : this->clock.Now();
  if (this->availability.Covers(*this->outageStart, endHere - this->settings.shortestOutage)) {
    return this->availability.since;
  }
  const TimePoint end = this->sourceAvailable ? *this->outageEnd : TimePoint::max();
  // Other hosts may have found earlier that the source responds again
  const bool endedForOthers = this->availability.since > *this->outageStart;
  return endedForOthers ? std::min(end, this->availability.since) : end;
}

std::optional<TimePoint>
EndpointDirectory::LastDisturbance() const
{
  std::optional<TimePoint> last = this->restoredAt;
  if (this->outageStart) {
    last = std::max(last.value_or(TimePoint::min()), this->OutageEnd());
  }
  return last;
}

EndpointDirectory::Hold
EndpointDirectory::MakeHold(const EntryRemoval& aRemoval) const
{
  Hold hold{ this->clock.Now() };
  const std::optional<TimePoint> disturbance = this->LastDisturbance();
  // A later outage cannot be the reason for it
  if (disturbance && aRemoval.notBefore >= *disturbance) {
    hold.latestEnd = aRemoval.notBefore + this->settings.maximumHold;
  }
  return hold;
}

bool
EndpointDirectory::MustHold(const Hold& aHold) const
{
  const std::optional<TimePoint> disturbance = this->LastDisturbance();
  const TimePoint now = this->clock.Now();
  if (!disturbance || now >= aHold.latestEnd) {
    return false;
  }
  return *disturbance == TimePoint::max() || now < *disturbance + this->settings.returnGrace;
}

void
EndpointDirectory::AddSourceAvailability(const AvailabilityInterval& aSpan)
{
  this->availability.Add(aSpan, this->settings.shortestOutage);
}

RemovalOutcome
EndpointDirectory::OnRemoved(const std::string& aId, const EntryRemoval& aRemoval)
{
  const auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return RemovalOutcome::Ignored;
  }
  Entry& entry = found->second;
  entry.hasLeft = entry.hasLeft || !aRemoval.mayHaveLapsed;
  if (entry.removedAt) {
    return RemovalOutcome::Ignored;
  }
  const TimePoint now = this->clock.Now();
  const Hold hold = entry.hold ? *entry.hold : this->MakeHold(aRemoval);
  const bool canBeHeld = aRemoval.mayHaveLapsed && entry.endpoint.state == EndpointState::Live;
  if (canBeHeld && this->MustHold(hold)) {
    entry.hold = hold;
    return RemovalOutcome::Held;
  }
  entry.hold.reset();
  entry.removedAt = now;
  return RemovalOutcome::InForce;
}

void
EndpointDirectory::SetSourceAvailable(bool aAvailable)
{
  if (aAvailable && !this->sourceAvailable) {
    this->outageEnd = this->clock.Now();
  }
  if (!aAvailable && this->sourceAvailable) {
    this->outageStart = this->clock.Now();
  }
  this->sourceAvailable = aAvailable;
}

void
EndpointDirectory::OnSourceRestored()
{
  this->restoredAt = this->clock.Now();
}

std::vector<EndedHold>
EndpointDirectory::ApplyHeldRemovals()
{
  std::vector<EndedHold> ended;
  const TimePoint now = this->clock.Now();
  for (auto& [id, entry] : this->entries) {
    if (entry.hold && !this->MustHold(*entry.hold)) {
      ended.push_back({ id, std::chrono::floor<Milliseconds>(now - entry.hold->since) });
      entry.hold.reset();
      entry.removedAt = now;
    }
  }
  return ended;
}

bool
EndpointDirectory::EvictRemoved()
{
  const TimePoint now = this->clock.Now();
  const auto evicted = std::erase_if(this->entries, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.removedAt;
    return removedAt && now >= *removedAt + this->settings.removedRetention;
  });
  return evicted > 0;
}

bool
EndpointDirectory::IsRemoved(const std::string& aId) const
{
  const auto found = this->entries.find(aId);
  return found != this->entries.end() && found->second.removedAt.has_value();
}

bool
EndpointDirectory::IsLive(const std::string& aId) const
{
  const auto found = this->entries.find(aId);
  return found != this->entries.end() && !found->second.removedAt;
}

FleetSnapshotPtr
EndpointDirectory::Snapshot()
{
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->generation = ++this->generation;
  for (const auto& [id, entry] : this->entries) {
    snapshot->endpoints.push_back(entry.endpoint);
    EndpointState& state = snapshot->endpoints.back().state;
    if (entry.removedAt) {
      state = EndpointState::Leaving;
    } else if (entry.unreadable && state == EndpointState::Live) {
      state = EndpointState::Ejected;
    }
  }
  return snapshot;
}

} // namespace lagoonward
