#include "Lagoonward/Daemon/EndpointReplicator.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointUpdateMessages.h"
#include "Lagoonward/Daemon/PeerMessages.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type of an EndpointUpdateMessage, which is answered by an EndpointUpdateReply. Numbers above
/// RequestType::FirstExternal belong to this folder.
constexpr auto kEndpointUpdate =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstExternal) + 4);

/// Ranks that read the source for all daemons: the primary reader, and the standby reader while the primary sends
/// nothing.
constexpr int kReaderRanks = 2;

/// Greatest snapshot age sent or accepted: older ones are of no use. Longer answered spans in messages are cut to it.
constexpr Milliseconds kMaximumPlausibleAge = Seconds(3600);

} // namespace

EndpointReplicator::EndpointReplicator(const EndpointReplicatorSettings& aSettings,
                                       MembershipService& aMembership, PeerInfo aSelf,
                                       EndpointReplicatorHooks aHooks, const Clock& aClock)
  : settings(aSettings)
  , membership(aMembership)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , clock(aClock)
  , directory(aSettings.directory, aClock)
  , lapses(aSettings.lapseTime, aSettings.directory.shortestOutage)
  , guard(aSettings.guard, aClock)
  , changeLog(aSettings.changeRetention)
{
  this->membership.Transport().OnRequest(
    kEndpointUpdate,
    [this](PeerKey aSender, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleUpdate(aSender, aBytes));
    });
}

void
EndpointReplicator::Start()
{
  this->UpdatePlan();
  this->membership.Loop().Every(this->settings.tickInterval, [this] { this->Tick(); });
}

bool
EndpointReplicator::HandleRecord(EndpointRecord aRecord, bool aFromPeer)
{
  // The same record may arrive from the source and from several daemons, in any order
  const auto [known, isNew] = this->versions.try_emplace(aRecord.id, aRecord.version);
  if (!isNew && aRecord.version <= known->second) {
    // The other daemon may know more about the same removal
    const bool isKnownRemoval = aRecord.version == known->second && aRecord.removed;
    return isKnownRemoval && aRecord.evidence == RecordEvidence::Left &&
           this->ApplyRemoval(aRecord, aFromPeer);
  }
  known->second = aRecord.version;
  const bool isChange =
    aRecord.removed ? this->ApplyRemoval(aRecord, aFromPeer) : this->ApplyEntry(aRecord, aFromPeer);
  // Each aggregator forwards records that another has read first, as one of them may not reach all daemons. Whether a
  // removal takes effect at once depends on which daemons saw an outage of the source, so each daemon decides for
  // itself
  if (isChange || aRecord.removed) {
    this->changeLog.Add(aRecord, false, this->clock.BootNow());
  }
  return isChange;
}

TimePoint
EndpointReplicator::EarliestWriteOf(std::int64_t aVersion) const
{
  return this->endVersion && aVersion >= *this->endVersion ? this->asOf.load() : TimePoint::min();
}

TimePoint
EndpointReplicator::ToSteadyTime(TimePoint aBootTime) const
{
  return aBootTime == TimePoint::min() ? aBootTime
                                       : aBootTime - (this->clock.BootNow().time_since_epoch() -
                                                      this->clock.Now().time_since_epoch());
}

bool
EndpointReplicator::ApplyRemoval(EndpointRecord& aRecord, bool aFromPeer)
{
  EntryRemoval removal;
  removal.notBefore = this->ToSteadyTime(this->EarliestWriteOf(aRecord.version));
  // Only the daemon that has read the removal can tell, as the others may have missed an outage of the source
  const bool hasLeft = aFromPeer ? aRecord.evidence == RecordEvidence::Left
                                 : !this->lapses.MayHaveLapsed(aRecord.id, this->clock.BootNow());
  removal.mayHaveLapsed = !hasLeft;
  aRecord.evidence = hasLeft ? RecordEvidence::Left : RecordEvidence::None;
  const RemovalOutcome outcome = this->directory.OnRemoved(aRecord.id, removal);
  if (outcome != RemovalOutcome::Ignored) {
    kLog.Event("endpoint_removed", { { "endpoint", aRecord.id },
                                     { "version", aRecord.version },
                                     { "from_peer", aFromPeer },
                                     { "may_have_lapsed", removal.mayHaveLapsed },
                                     { "held", outcome == RemovalOutcome::Held } });
  }
  return outcome == RemovalOutcome::InForce;
}

bool
EndpointReplicator::ApplyEntry(EndpointRecord& aRecord, bool aFromPeer)
{
  if (!aFromPeer) {
    this->lapses.OnRenewed(aRecord.id, this->clock.BootNow());
  }
  auto endpoint = this->hooks.decode(aRecord);
  if (!endpoint) {
    return this->RefuseRecord(aRecord, endpoint.error().message);
  }
  const bool isLeaving = endpoint.value().state == EndpointState::Leaving;
  const std::string service = endpoint.value().name;
  const std::int64_t incarnation = endpoint.value().incarnation;
  const bool isReclaimable = endpoint.value().reclaimable;
  const bool wasRemoved = this->directory.IsRemoved(aRecord.id);
  const EntryOutcome outcome = this->directory.OnEntry(
    std::move(endpoint.value()), aRecord.evidence == RecordEvidence::Returned);
  if (outcome == EntryOutcome::Unchanged) {
    if (wasRemoved) {
      kLog.Event("endpoint_not_returned",
                 { { "endpoint", aRecord.id }, { "version", aRecord.version } });
    }
    return false;
  }
  aRecord.evidence =
    outcome == EntryOutcome::Returned ? RecordEvidence::Returned : RecordEvidence::None;
  kLog.Event("endpoint", { { "endpoint", aRecord.id },
                           { "version", aRecord.version },
                           { "from_peer", aFromPeer },
                           { "service", service },
                           { "born", incarnation },
                           { "leaving", isLeaving },
                           { "returned", wasRemoved },
                           { "reclaimable", isReclaimable } });
  return true;
}

bool
EndpointReplicator::RefuseRecord(const EndpointRecord& aRecord, const std::string& aReason)
{
  ++this->refusedRecords;
  std::string& last = this->refusalReasons[aRecord.id];
  if (last != aReason) {
    kLog.Event(LogLevel::Warning, "endpoint_refused",
               { { "endpoint", aRecord.id }, { "reason", aReason } });
    last = aReason;
  }
  return this->directory.OnUnreadable(aRecord.id);
}

void
EndpointReplicator::OnRecord(const EndpointRecord& aRecord)
{
  this->hasUnpublishedChanges = this->HandleRecord(aRecord, false) || this->hasUnpublishedChanges;
}

void
EndpointReplicator::OnFullRead(const std::vector<EndpointRecord>& aRecords,
                               std::int64_t aEndVersion)
{
  const FleetSnapshotPtr before = this->directory.Snapshot();
  std::vector<std::string> ids;
  for (const EndpointRecord& record : aRecords) {
    ids.push_back(record.id);
    this->hasUnpublishedChanges = this->HandleRecord(record, false) || this->hasUnpublishedChanges;
  }
  // Records of newer versions, received since the read, are not part of it
  for (const auto& [id, version] : this->versions) {
    if (version >= aEndVersion) {
      ids.push_back(id);
    }
  }
  for (const Endpoint& endpoint : before->endpoints) {
    if (std::find(ids.begin(), ids.end(), endpoint.id) != ids.end()) {
      continue;
    }
    EndpointRecord missing{ endpoint.id, {}, aEndVersion - 1, true };
    this->hasUnpublishedChanges = this->ApplyRemoval(missing, false) || this->hasUnpublishedChanges;
    if (endpoint.state != EndpointState::Leaving) {
      this->changeLog.Add(missing, true, this->clock.BootNow());
    }
  }
  if (!this->endVersion) {
    // Records received before the first full read were not added to the change log
    std::int64_t firstVersion = aEndVersion;
    for (const auto& [id, version] : this->versions) {
      firstVersion = std::max(firstVersion, version + 1);
    }
    this->changeLog.StartAt(firstVersion);
    this->endVersion = aEndVersion;
  }
  kLog.Event("endpoints",
             { { "count", aRecords.size() }, { "changed", this->hasUnpublishedChanges } });
}

void
EndpointReplicator::OnReadCompleted(TimePoint aAsOf, std::int64_t aEndVersion)
{
  this->needsRepair = false;
  this->lapses.OnRead(aAsOf);
  if (!this->ownReadsAnsweredSince) {
    this->ownReadsAnsweredSince = aAsOf;
  }
  if (this->endVersion) {
    this->AdvanceTo({ *this->ownReadsAnsweredSince, aAsOf }, aEndVersion);
  }
  // Publishing a snapshot is expensive, so all records of one read are published as one change
  if (std::exchange(this->hasUnpublishedChanges, false)) {
    this->OnSnapshotChanged();
  }
  this->UpdateGuard();
  if (this->isAggregator) {
    this->SendUpdates(this->rank < kReaderRanks);
  }
}

void
EndpointReplicator::AdvanceTo(const AvailabilityInterval& aAnswered, std::int64_t aEndVersion)
{
  this->endVersion = std::max(this->endVersion.value_or(aEndVersion), aEndVersion);
  this->asOf = std::max(this->asOf.load(), aAnswered.until);
  this->answeredSpan.Add(aAnswered, this->settings.staleAfter);
  this->directory.AddSourceAvailability(
    { this->ToSteadyTime(this->answeredSpan.since), this->ToSteadyTime(this->answeredSpan.until) });
}

void
EndpointReplicator::UpdateGuard()
{
  // Only after the snapshot has been published, as requests are sent on the published one
  if (this->asOf.load() != TimePoint::min()) {
    this->guard.SetAsOf(this->asOf);
  }
}

Milliseconds
EndpointReplicator::Age() const
{
  const TimePoint asOfTime = this->asOf;
  return asOfTime == TimePoint::min()
           ? Milliseconds::max()
           : std::chrono::ceil<Milliseconds>(this->clock.BootNow() - asOfTime);
}

void
EndpointReplicator::SendUpdates(bool aToOtherGroups)
{
  // Before its first full read a daemon lacks older records, and its snapshot has no age yet
  if (!this->endVersion || this->Age() > kMaximumPlausibleAge) {
    return;
  }
  this->changeLog.DropExpired(this->clock.BootNow());
  // Aggregators of other groups first, as they forward the update
  if (aToOtherGroups) {
    this->SendUpdatesTo(this->plan.otherAggregators, true);
  }
  this->SendUpdatesTo(this->plan.groupMembers, false);
}

void
EndpointReplicator::SendUpdatesTo(std::span<const PeerAddress> aReceivers, bool aForwardToGroup)
{
  EndpointUpdateMessage message;
  message.forwardToGroup = aForwardToGroup;
  message.sentAt =
    std::chrono::floor<Milliseconds>(this->clock.BootNow().time_since_epoch()).count();
  message.age = this->Age().count();
  message.answeredFor =
    std::chrono::floor<Milliseconds>(this->answeredSpan.until - this->answeredSpan.since).count();
  message.endVersion = *this->endVersion;
  message.digest = this->Digest();
  message.configurationVersion = this->hooks.configurationVersion();
  // Sending all changes of the last seconds to every receiver would occupy a small host's link for longer than the
  // timeout of a message, so each receiver is sent only what it has not acknowledged. Most have acknowledged the same
  // version, so each distinct message is encoded once
  std::map<std::int64_t, std::string> encoded;
  for (const PeerAddress& receiver : aReceivers) {
    const auto known = this->acknowledgedVersions.find(receiver.key);
    message.firstVersion = this->changeLog.FirstVersion();
    if (known != this->acknowledgedVersions.end()) {
      message.firstVersion = std::max(message.firstVersion, known->second);
    }
    const auto [bytes, isNew] = encoded.try_emplace(message.firstVersion);
    if (isNew) {
      message.entries = this->changeLog.ChangesFrom(message.firstVersion);
      bytes->second = EncodePeerMessage(message);
    }
    // A receiver that does not answer reads the source directly, and is sent the same changes again
    this->membership.Transport().Request(
      receiver, kEndpointUpdate, bytes->second, this->settings.timeout,
      [this, key = receiver.key](const Result<std::string>& aReply) {
        if (aReply) {
          this->OnReply(key, aReply.value());
        }
      });
  }
}

void
EndpointReplicator::OnReply(PeerKey aReceiver, std::string_view aReply)
{
  const auto reply = DecodePeerMessage<EndpointUpdateReply>(aReply);
  if (reply && reply->hasFullSnapshot) {
    this->acknowledgedVersions[aReceiver] = reply->endVersion;
  } else {
    this->acknowledgedVersions.erase(aReceiver);
  }
}

std::string
EndpointReplicator::HandleUpdate(PeerKey aSender, std::string_view aBytes)
{
  const auto message = DecodePeerMessage<EndpointUpdateMessage>(aBytes);
  if (!message) {
    kLog.Warning("Malformed endpoint update from a daemon; ignored.");
    return {};
  }
  const TimePoint now = this->clock.BootNow();
  const Milliseconds delay = this->delays[aSender].OnMessage(Milliseconds(message->sentAt), now);
  bool isChange = false;
  for (const EndpointRecord& entry : message->entries) {
    isChange = this->HandleRecord(entry, true) || isChange;
  }
  const bool isPlausible = message->age >= 0 && message->age <= kMaximumPlausibleAge.count();
  if (isPlausible && this->endVersion && message->firstVersion <= *this->endVersion) {
    const std::int64_t answeredFor =
      std::clamp<std::int64_t>(message->answeredFor, 0, kMaximumPlausibleAge.count());
    const TimePoint readAt = now - delay - Milliseconds(message->age);
    this->AdvanceTo({ readAt - Milliseconds(answeredFor), readAt }, message->endVersion);
  }
  if (isChange) {
    this->OnSnapshotChanged();
  }
  this->UpdateGuard();
  this->newestPeerConfiguration =
    std::max(this->newestPeerConfiguration.load(), message->configurationVersion);
  this->CompareDigest(message->digest);
  if (message->forwardToGroup && this->isAggregator) {
    this->SendUpdates(false);
  }
  return EncodePeerMessage(
    EndpointUpdateReply{ this->endVersion.has_value(), this->endVersion.value_or(0) });
}

void
EndpointReplicator::CompareDigest(std::uint64_t aDigest)
{
  const TimePoint now = this->clock.Now();
  if (aDigest == this->Digest()) {
    this->digestMismatchSince.reset();
    return;
  }
  if (!this->digestMismatchSince) {
    this->digestMismatchSince = now;
  }
  const bool isTooSoon =
    this->lastRepairAt && now - *this->lastRepairAt < this->settings.minimumRepairInterval;
  if (now - *this->digestMismatchSince >= this->settings.digestMismatchTolerance && !isTooSoon) {
    kLog.Event(LogLevel::Warning, "endpoints_differ", { { "endpoints", this->versions.size() } });
    this->lastRepairAt = now;
    this->digestMismatchSince.reset();
    this->needsRepair = true;
  }
}

std::uint64_t
EndpointReplicator::Digest()
{
  if (!this->digest) {
    std::uint64_t sum = 0;
    const FleetSnapshotPtr snapshot = this->directory.Snapshot();
    for (const Endpoint& endpoint : snapshot->endpoints) {
      sum ^= endpoint.state == EndpointState::Live ? HashBytes(endpoint.id) : 0;
    }
    this->digest = sum;
  }
  return *this->digest;
}

void
EndpointReplicator::OnSnapshotChanged()
{
  this->digest.reset();
  this->hooks.onChanged();
}

void
EndpointReplicator::OnSourceReachability(bool aAnswers)
{
  if (!aAnswers) {
    this->ownReadsAnsweredSince.reset();
  }
  this->guard.OnSourceReachability(aAnswers);
  this->lapses.OnOutage();
  this->directory.SetSourceAvailable(aAnswers);
}

bool
EndpointReplicator::WatchesSource() const
{
  return this->rank < kReaderRanks || !this->IsCurrent();
}

Milliseconds
EndpointReplicator::StalenessLimit() const
{
  const int steps = this->rank < kReaderRanks ? 0 : this->isAggregator ? 1 : 2;
  return this->settings.readerStalenessLimit + this->settings.stalenessLimitStep * steps;
}

Milliseconds
EndpointReplicator::ReadInterval() const
{
  if (this->rank == 0) {
    return this->settings.readerInterval;
  }
  if (this->needsRepair) {
    return Milliseconds(0);
  }
  if (this->IsCurrent()) {
    return this->settings.listenerInterval;
  }
  // The standby reader has taken over from the primary
  if (this->rank < kReaderRanks) {
    return this->settings.readerInterval;
  }
  return std::clamp(this->settings.directReadIntervalPerDaemon * this->daemonCount.load(),
                    this->settings.readerInterval, this->settings.maximumDirectReadInterval);
}

void
EndpointReplicator::Tick()
{
  this->guard.OnTick();
  this->UpdatePlan();
  this->PruneRetainedState();
  this->LogStaleness();
  const std::vector<EndedHold> ended = this->directory.ApplyHeldRemovals();
  for (const EndedHold& hold : ended) {
    kLog.Event("endpoint_hold_ended",
               { { "endpoint", hold.id }, { "held_ms", hold.heldFor.count() } });
  }
  const bool hasEvicted = this->directory.EvictRemoved();
  if (hasEvicted || !ended.empty()) {
    this->OnSnapshotChanged();
  }
}

void
EndpointReplicator::LogStaleness()
{
  if (!this->endVersion) {
    return;
  }
  const Milliseconds age = this->Age();
  const bool wasStale = this->longestStaleAge > Milliseconds(0);
  if (age > this->settings.staleAfter) {
    this->longestStaleAge = std::max(this->longestStaleAge, age);
    if (!wasStale) {
      kLog.Event(LogLevel::Warning, "endpoints_late",
                 { { "age_ms", age.count() }, { "reads_itself", this->WatchesSource() } });
    }
  } else if (wasStale) {
    kLog.Event("endpoints_current", { { "longest_ms", this->longestStaleAge.count() } });
    this->longestStaleAge = Milliseconds(0);
  }
}

void
EndpointReplicator::UpdatePlan()
{
  const PeerViewPtr view = this->membership.Peers();
  if (view == this->planView) {
    return;
  }
  this->planView = view;
  this->plan = MakeAggregationPlan(this->self, true, *view, {});
  this->rank = this->plan.RankOf(this->self.Key());
  this->isAggregator = this->plan.IsAggregator(this->self.Key());
  this->daemonCount = this->plan.daemonCount;
  const auto contains = [](const std::vector<PeerAddress>& aDaemons, PeerKey aKey) {
    return std::any_of(aDaemons.begin(), aDaemons.end(),
                       [&](const PeerAddress& aEach) { return aEach.key == aKey; });
  };
  std::erase_if(this->acknowledgedVersions, [&](const auto& aReceiver) {
    return !contains(this->plan.groupMembers, aReceiver.first) &&
           !contains(this->plan.otherAggregators, aReceiver.first);
  });
  std::erase_if(this->delays, [&](const auto& aSender) {
    return !contains(this->plan.allAggregators, aSender.first);
  });
}

void
EndpointReplicator::PruneRetainedState()
{
  this->lapses.Prune(this->clock.BootNow());
  if (this->refusalReasons.size() > this->settings.maximumRetainedIds) {
    this->refusalReasons.clear();
  }
  if (this->versions.size() <= this->settings.maximumRetainedIds) {
    return;
  }
  const FleetSnapshotPtr fleet = this->directory.Snapshot();
  std::erase_if(this->versions,
                [&](const auto& aKnown) { return fleet->Find(aKnown.first) == nullptr; });
}

} // namespace lagoonward
