#include "Lagoonward/Membership/EndpointMonitor.h"

#include <algorithm>
#include <limits>

namespace lagoonward {

EndpointMonitor::EndpointMonitor(const Clock& aClock, PeerKey aSelf,
                                 EndpointMonitorSettings aSettings)
  : clock(aClock)
  , self(aSelf)
  , settings(aSettings)
  , daemons{ aSelf }
  , budget(static_cast<double>(aSettings.loadBytesPerSecond))
  , refilledAt(aClock.Now())
{
}

void
EndpointMonitor::SetEndpoints(std::vector<HostEntry> aEndpoints)
{
  std::unordered_map<EndpointKey, EndpointFact> next;
  for (HostEntry& host : aEndpoints) {
    const EndpointKey key = ToEndpointKey(host.id);
    auto known = this->facts.extract(key);
    EndpointFact& fact = next[key];
    if (!known.empty()) {
      fact = std::move(known.mapped());
    }
    fact.key = key;
    fact.host = std::move(host);
    this->tombstones.erase(key);
  }
  // The remaining endpoints are no longer listed; late updates must not add them again
  for (const auto& item : this->facts) {
    this->tombstones[item.first] = this->clock.Now();
  }
  this->facts = std::move(next);
  this->ExpireTombstones();

  for (auto& [key, fact] : this->facts) {
    if (fact.host.leaving) {
      this->Merge(EndpointStateUpdate{ key, EndpointState::Leaving, fact.stateVersion + 1, 0 });
    }
    const auto pending = this->pendingUpdates.extract(key);
    if (!pending.empty()) {
      this->Merge(pending.mapped().fact);
    }
  }
  this->UpdatePolledEndpoints();
}

void
EndpointMonitor::SetPollers(std::span<const PeerKey> aDaemons)
{
  this->daemons.assign(aDaemons.begin(), aDaemons.end());
  this->UpdatePolledEndpoints();
}

std::vector<HostEntry>
EndpointMonitor::DuePolls()
{
  const TimePoint now = this->clock.Now();
  std::vector<HostEntry> due;
  for (auto& [key, pollState] : this->pollStates) {
    const bool isInProgress =
      pollState.pollStartedAt && now - *pollState.pollStartedAt < this->settings.pollTimeout;
    if (now < pollState.nextPoll || isInProgress) {
      continue;
    }
    pollState.nextPoll = std::max(pollState.nextPoll + this->settings.pollInterval, now);
    pollState.pollStartedAt = now;
    due.push_back(this->facts.at(key).host);
  }
  return due;
}

void
EndpointMonitor::OnPolled(const std::string& aEndpointId, const Result<EndpointLoad>& aLoad)
{
  const EndpointKey key = ToEndpointKey(aEndpointId);
  const auto fact = this->facts.find(key);
  const auto pollState = this->pollStates.find(key);
  if (fact == this->facts.end() || pollState == this->pollStates.end()) {
    return;
  }
  pollState->second.pollStartedAt.reset();
  if (aLoad) {
    this->OnPollSucceeded(fact->second, pollState->second, aLoad.value());
  } else {
    this->OnPollFailed(fact->second, pollState->second);
  }
}

bool
EndpointMonitor::Report(const std::string& aEndpointId, EndpointState aState, Milliseconds aGrace)
{
  const EndpointKey key = ToEndpointKey(aEndpointId);
  const auto known = this->facts.find(key);
  const std::uint32_t version = known == this->facts.end() ? 1 : known->second.stateVersion + 1;
  if (known != this->facts.end() && known->second.state == aState) {
    return false;
  }
  const auto grace =
    std::clamp<std::int64_t>(aGrace.count(), 0, std::numeric_limits<std::uint32_t>::max());
  return this->Merge(
    EndpointStateUpdate{ key, aState, version, static_cast<std::uint32_t>(grace) });
}

bool
EndpointMonitor::Merge(const EndpointLoadUpdate& aFact)
{
  const auto found = this->facts.find(aFact.key);
  if (found == this->facts.end()) {
    return false;
  }
  EndpointFact& known = found->second;
  const TimePoint observedAt = this->clock.Now() - aFact.age * kLoadAgeUnit;
  if (!known.load || IsNewerSample(aFact.asOf, known.load->asOf)) {
    known.load = aFact;
    known.observedAt = observedAt;
  }
  // Forwards this sample even if this daemon has polled a newer one: publishing the newer one instead would
  // disseminate the same endpoint to all daemons a second time
  const bool isNew = !known.published || IsNewerSample(aFact.asOf, known.published->asOf);
  if (isNew) {
    this->QueueLoad(known, aFact, observedAt);
  }
  return isNew;
}

bool
EndpointMonitor::Merge(const EndpointStateUpdate& aFact)
{
  const auto found = this->facts.find(aFact.key);
  if (found != this->facts.end()) {
    const bool isNew = Supersedes(aFact, found->second);
    if (isNew) {
      this->ApplyState(found->second, aFact);
    }
    return isNew;
  }
  // Not listed yet. The grace period counts down at every hop, so such updates expire.
  const bool isPending = aFact.state == EndpointState::Leaving && aFact.graceLeft > 0 &&
                         !this->tombstones.contains(aFact.key) &&
                         !this->pendingUpdates.contains(aFact.key);
  if (isPending) {
    this->pendingUpdates[aFact.key] = { aFact, this->clock.Now() + Milliseconds(aFact.graceLeft) };
    this->queuedStates.push_back(aFact.key);
  }
  return isPending;
}

std::vector<EndpointLoadUpdate>
EndpointMonitor::TakeLoads(std::size_t aBytes, std::size_t aReceivers)
{
  this->RefillBudget();
  const double cost =
    static_cast<double>(kEndpointLoadUpdateBytes * std::max<std::size_t>(1, aReceivers));
  std::vector<EndpointLoadUpdate> loads;
  std::size_t taken = 0;
  while (taken < this->queuedLoads.size() &&
         (loads.size() + 1) * kEndpointLoadUpdateBytes <= aBytes && this->budget >= cost) {
    const auto found = this->facts.find(this->queuedLoads[taken++]);
    if (found == this->facts.end()) {
      continue;
    }
    EndpointFact& fact = found->second;
    fact.loadQueued = false;
    if (fact.published) {
      loads.push_back(this->WithAge(*fact.published, fact.publishedObservedAt));
      this->budget -= cost;
    }
  }
  this->queuedLoads.erase(this->queuedLoads.begin(),
                          this->queuedLoads.begin() + static_cast<std::ptrdiff_t>(taken));
  return loads;
}

std::vector<EndpointStateUpdate>
EndpointMonitor::TakeStates(std::size_t aLimit)
{
  std::vector<EndpointStateUpdate> states;
  while (!this->queuedStates.empty() && states.size() < aLimit) {
    const EndpointKey key = this->queuedStates.back();
    this->queuedStates.pop_back();
    const auto found = this->facts.find(key);
    if (found != this->facts.end()) {
      found->second.stateQueued = false;
      states.push_back(this->WithGrace(found->second));
      continue;
    }
    const auto pending = this->pendingUpdates.find(key);
    if (pending != this->pendingUpdates.end()) {
      states.push_back(pending->second.fact);
    }
  }
  return states;
}

std::vector<EndpointStateUpdate>
EndpointMonitor::AllStates() const
{
  std::vector<EndpointStateUpdate> states;
  for (const auto& [key, fact] : this->facts) {
    if (!IsInitialState(fact)) {
      states.push_back(this->WithGrace(fact));
    }
  }
  return states;
}

std::vector<EndpointLoadUpdate>
EndpointMonitor::AllLoads() const
{
  std::vector<EndpointLoadUpdate> loads;
  for (const auto& [key, fact] : this->facts) {
    if (this->IsFresh(fact)) {
      loads.push_back(this->WithAge(*fact.load, fact.observedAt));
    }
  }
  return loads;
}

void
EndpointMonitor::AddProfile(EndpointProfile aProfile)
{
  if (this->profiles.size() >= this->settings.maximumProfiles) {
    this->profiles.clear();
  }
  const std::uint32_t hash = aProfile.Hash();
  this->profiles.insert_or_assign(hash, std::move(aProfile));
}

const EndpointProfile*
EndpointMonitor::FindProfile(std::uint32_t aHash) const
{
  const auto found = this->profiles.find(aHash);
  return found == this->profiles.end() ? nullptr : &found->second;
}

const std::unordered_map<EndpointKey, EndpointFact>&
EndpointMonitor::Facts() const
{
  return this->facts;
}

std::optional<EndpointLoad>
EndpointMonitor::LoadOf(const EndpointFact& aFact) const
{
  const EndpointProfile* const profile =
    aFact.load ? this->FindProfile(aFact.load->profile) : nullptr;
  if (profile == nullptr || !this->IsFresh(aFact)) {
    return std::nullopt;
  }
  const auto age = this->clock.Now() - aFact.observedAt;
  const WallTime asOf = this->clock.WallNow() - std::chrono::duration_cast<WallTime::duration>(age);
  return ToEndpointLoad(*aFact.load, *profile, asOf);
}

std::size_t
EndpointMonitor::PolledCount() const
{
  return this->pollStates.size();
}

std::uint64_t
EndpointMonitor::StateDigest() const
{
  std::uint64_t digest = 0;
  for (const auto& [key, fact] : this->facts) {
    if (!IsInitialState(fact)) {
      digest ^= StateHash(fact);
    }
  }
  return digest;
}

void
EndpointMonitor::UpdatePolledEndpoints()
{
  std::unordered_map<EndpointKey, PollState> next;
  const TimePoint now = this->clock.Now();
  for (const auto& [key, fact] : this->facts) {
    // This daemon polls the endpoints for which it is among the highest rendezvous weights
    const auto ownWeight = RendezvousWeight(key, this->self);
    const auto higherRanked =
      std::count_if(this->daemons.begin(), this->daemons.end(), [&, subject = key](PeerKey aPeer) {
        return aPeer != this->self && RendezvousWeight(subject, aPeer) > ownWeight;
      });
    if (static_cast<std::size_t>(higherRanked) >= this->settings.pollersPerEndpoint) {
      continue;
    }
    auto known = this->pollStates.extract(key);
    if (!known.empty()) {
      next.insert(std::move(known));
      continue;
    }
    // Distributes the polls of one daemon, and those of the pollers of one endpoint, over the interval
    const auto phase =
      ownWeight %
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, this->settings.pollInterval.count()));
    next[key].nextPoll = now + Milliseconds(phase);
  }
  this->pollStates = std::move(next);
}

void
EndpointMonitor::OnPollFailed(EndpointFact& aFact, PollState& aPollState)
{
  if (aPollState.failures++ == 0) {
    aPollState.failingSince = this->clock.Now();
  }
  // If another poller still reads the endpoint, the fault is in the path between the endpoint and this daemon
  const bool isReadByOthers = aFact.load && aFact.observedAt >= aPollState.failingSince;
  if (aPollState.failures >= this->settings.failuresToEject && !isReadByOthers &&
      aFact.state == EndpointState::Live) {
    this->ApplyState(aFact, { aFact.key, EndpointState::Ejected, aFact.stateVersion + 1, 0 });
  }
}

void
EndpointMonitor::OnPollSucceeded(EndpointFact& aFact, PollState& aPollState,
                                 const EndpointLoad& aLoad)
{
  aPollState.failures = 0;
  if (aFact.state == EndpointState::Ejected) {
    this->ApplyState(aFact, { aFact.key, EndpointState::Live, aFact.stateVersion + 1, 0 });
  }
  const EndpointLoadUpdate sample = this->ToFact(aFact.key, aLoad);
  if (aFact.load && !IsNewerSample(sample.asOf, aFact.load->asOf)) {
    return;
  }
  aFact.load = sample;
  aFact.observedAt = this->clock.Now() - sample.age * kLoadAgeUnit;
  if (this->ShouldPublish(aFact, sample)) {
    this->QueueLoad(aFact, sample, aFact.observedAt);
  }
}

void
EndpointMonitor::ApplyState(EndpointFact& aFact, const EndpointStateUpdate& aUpdate)
{
  aFact.state = aUpdate.state;
  aFact.stateVersion = aUpdate.version;
  aFact.availableUntil.reset();
  if (aUpdate.state == EndpointState::Leaving && aUpdate.graceLeft > 0) {
    aFact.availableUntil = this->clock.Now() + Milliseconds(aUpdate.graceLeft);
  }
  if (!aFact.stateQueued) {
    aFact.stateQueued = true;
    this->queuedStates.push_back(aFact.key);
  }
}

void
EndpointMonitor::QueueLoad(EndpointFact& aFact, const EndpointLoadUpdate& aSample,
                           TimePoint aObservedAt)
{
  aFact.published = aSample;
  aFact.publishedObservedAt = aObservedAt;
  aFact.publishQueuedAt = this->clock.Now();
  if (!aFact.loadQueued) {
    aFact.loadQueued = true;
    this->queuedLoads.push_back(aFact.key);
  }
}

void
EndpointMonitor::RefillBudget()
{
  const TimePoint now = this->clock.Now();
  const double rate = static_cast<double>(this->settings.loadBytesPerSecond);
  const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
  this->budget = std::min(rate, this->budget + rate * seconds);
  this->refilledAt = now;
}

void
EndpointMonitor::ExpireTombstones()
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->tombstones, [&](const auto& aItem) {
    return now - aItem.second > this->settings.tombstoneRetention;
  });
  std::erase_if(this->pendingUpdates,
                [&](const auto& aItem) { return aItem.second.availableUntil < now; });
}

bool
EndpointMonitor::ShouldPublish(const EndpointFact& aFact, const EndpointLoadUpdate& aSample) const
{
  if (!aFact.published) {
    return true;
  }
  const auto elapsed = this->clock.Now() - aFact.publishQueuedAt;
  const bool isSignificant =
    DiffersSignificantly(*aFact.published, aSample, this->settings.significantChange);
  return elapsed >= this->settings.maximumPublishInterval ||
         (isSignificant && elapsed >= this->settings.minimumPublishInterval);
}

EndpointLoadUpdate
EndpointMonitor::ToFact(EndpointKey aKey, const EndpointLoad& aLoad)
{
  EndpointProfile profile{ aLoad.role, aLoad.kvBlocksTotal, aLoad.models };
  const std::uint32_t hash = profile.Hash();
  if (this->FindProfile(hash) == nullptr) {
    this->AddProfile(std::move(profile));
  }
  return ToEndpointLoadUpdate(aKey, aLoad, this->clock.WallNow() - aLoad.asOf, hash);
}

EndpointLoadUpdate
EndpointMonitor::WithAge(EndpointLoadUpdate aSample, TimePoint aObservedAt) const
{
  aSample.age = ToAgeUnits(this->clock.Now() - aObservedAt);
  return aSample;
}

EndpointStateUpdate
EndpointMonitor::WithGrace(const EndpointFact& aFact) const
{
  EndpointStateUpdate fact{ aFact.key, aFact.state, aFact.stateVersion, 0 };
  if (aFact.availableUntil) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(*aFact.availableUntil - this->clock.Now());
    fact.graceLeft = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count()));
  }
  return fact;
}

bool
EndpointMonitor::IsFresh(const EndpointFact& aFact) const
{
  return aFact.load && this->clock.Now() - aFact.observedAt <= this->settings.staleAfter;
}

} // namespace lagoonward
