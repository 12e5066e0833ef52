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

bool
EndpointDirectory::OnEntry(Endpoint aEndpoint)
{
  Entry& entry = this->entries[aEndpoint.id];
  if (aEndpoint.born < entry.endpoint.born) {
    return false;
  }
  if (aEndpoint.born > entry.endpoint.born) {
    entry = {};
  }
  const Endpoint& known = entry.endpoint;
  // Who has said that it leaves does not come back in the same life
  if (known.state == EndpointState::Leaving) {
    aEndpoint.state = EndpointState::Leaving;
  }
  const bool changed = entry.missingSince.has_value() || entry.removedAt.has_value() ||
                       entry.unreadable || known.id != aEndpoint.id ||
                       known.address != aEndpoint.address || known.port != aEndpoint.port ||
                       known.state != aEndpoint.state || known.name != aEndpoint.name;
  entry.missingSince.reset();
  entry.removedAt.reset();
  entry.unreadable = false;
  entry.endpoint = std::move(aEndpoint);
  return changed;
}

bool
EndpointDirectory::OnUnreadable(const std::string& aId)
{
  const auto found = this->entries.find(aId);
  return found != this->entries.end() && !std::exchange(found->second.unreadable, true);
}

bool
EndpointDirectory::IsAroundOutage() const
{
  const bool isRecent =
    this->answersSince && this->clock.Now() < *this->answersSince + this->settings.returnGrace;
  return (!this->sourceAnswers || isRecent) && !this->WasSeenThroughout();
}

bool
EndpointDirectory::WasSeenThroughout() const
{
  // Entries of live endpoints lapse only where the source itself is away. Held back because of one host's own trouble, a
  // removal would bind there later than an endpoint that leaves must be known
  if (!this->lostAt) {
    return false;
  }
  const TimePoint shown = this->clock.Now() - this->settings.shortestOutage;
  const TimePoint until =
    this->sourceAnswers ? *this->answersSince : std::max(*this->lostAt, shown);
  return this->seen.Covers(*this->lostAt - this->settings.shortestOutage, until);
}

void
EndpointDirectory::OnSourceSeen(const AnsweredSpan& aSpan)
{
  this->seen.Add(aSpan, this->settings.shortestOutage);
}

bool
EndpointDirectory::OnRemoved(const std::string& aId)
{
  const auto found = this->entries.find(aId);
  if (found == this->entries.end() || found->second.removedAt) {
    return false;
  }
  if (this->IsAroundOutage() && found->second.endpoint.state == EndpointState::Live) {
    found->second.missingSince = this->clock.Now();
    return false;
  }
  found->second.missingSince.reset();
  found->second.removedAt = this->clock.Now();
  return true;
}

bool
EndpointDirectory::OnWhole(const std::vector<std::string>& aIds)
{
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->entries) {
    if (std::find(aIds.begin(), aIds.end(), id) == aIds.end()) {
      missing.push_back(id);
    }
  }
  bool changed = false;
  for (const std::string& id : missing) {
    changed = this->OnRemoved(id) || changed;
  }
  return changed;
}

void
EndpointDirectory::OnSource(bool aAnswers)
{
  if (aAnswers && !this->sourceAnswers) {
    this->answersSince = this->clock.Now();
  }
  if (!aAnswers && this->sourceAnswers) {
    this->lostAt = this->clock.Now();
  }
  this->sourceAnswers = aAnswers;
}

bool
EndpointDirectory::Tick()
{
  const TimePoint now = this->clock.Now();
  const auto forgotten = std::erase_if(this->entries, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.removedAt;
    return removedAt && now >= *removedAt + this->settings.removedMemory;
  });
  if (this->IsAroundOutage()) {
    return forgotten > 0;
  }
  bool changed = forgotten > 0;
  for (auto& [id, entry] : this->entries) {
    if (entry.missingSince) {
      entry.missingSince.reset();
      entry.removedAt = now;
      changed = true;
    }
  }
  return changed;
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
