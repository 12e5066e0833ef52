#include "Lagoonward/Daemon/EndpointReplicator.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointUpdateMessages.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type of an EndpointUpdateMessage, which is answered by an EndpointUpdateReply.
constexpr auto kEndpointUpdate = ToRequestType(PeerRequest::EndpointUpdate);

/// Ranks that watch the source also while they receive updates: the primary and the standby reader.
constexpr int kReaderRanks = 2;

/// No message that arrives has been in transit for longer, as its sender and its connection have timeouts.
constexpr Milliseconds kLongestDelay = Seconds(10);

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
  , role(aSettings.reader, aClock)
{
  this->membership.Transport().OnRequest(
    kEndpointUpdate,
    [this](PeerKey aSender, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleUpdate(aSender, aBytes));
    });
  this->membership.Transport().OnRequest(
    ToRequestType(PeerRequest::EndpointSnapshot),
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->AnswerQuery(aBytes));
    });
}

void
EndpointReplicator::Start()
{
  this->UpdatePlan();
  this->membership.Loop().Every(this->settings.tickInterval, [this] { this->Tick(); });
}

void
EndpointReplicator::OnReadCompleted(TimePoint aAsOf, LogPosition aEndVersion)
{
  // All that a first read brings is new here, and known to the others
  const bool hadSnapshot = this->HasSnapshot();
  const bool wasCurrent = this->IsCurrent();
  this->needsRepair = false;
  this->lapses.OnRead(aAsOf);
  if (!this->ownReadsAnsweredSince) {
    this->ownReadsAnsweredSince = aAsOf;
  }
  if (this->endVersion) {
    this->AdvanceTo({ *this->ownReadsAnsweredSince, aAsOf }, aEndVersion, this->OwnOrigin());
  }
  // Publishing a snapshot is expensive, so all records of one read are published as one change
  const bool isChange = std::exchange(this->hasUnpublishedChanges, false);
  if (isChange) {
    this->OnSnapshotChanged();
  }
  this->UpdateGuard();
  this->DistributeRead(hadSnapshot && (isChange || !wasCurrent));
}

void
EndpointReplicator::DistributeRead(bool aIsNew)
{
  if (this->role.IsAggregator()) {
    this->SendUpdates(aIsNew || this->role.ReadsForOthers());
  } else if (aIsNew && this->HasSnapshot()) {
    this->SendUpdatesTo(this->plan.ownAggregators, UpdateScope::Deployment);
  }
}

void
EndpointReplicator::AdvanceTo(const AvailabilityInterval& aAnswered, LogPosition aEndVersion,
                              const SnapshotOrigin& aOrigin)
{
  if (aAnswered.until >= this->asOf.load()) {
    this->origin = aOrigin;
  }
  this->endVersion = std::max(this->endVersion.value_or(aEndVersion), aEndVersion);
  this->sourceEpoch = this->endVersion->epoch;
  this->asOf = std::max(this->asOf.load(), aAnswered.until);
  this->answeredSpan.Add(aAnswered, this->settings.directory.shortestOutage);
  this->directory.AddSourceAvailability(
    { this->ToSteadyTime(this->answeredSpan.since), this->ToSteadyTime(this->answeredSpan.until) });
}

SnapshotOrigin
EndpointReplicator::OriginOf(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                             const AvailabilityInterval& aAnswered) const
{
  return { aMessage.reader, this->AddressOf(aMessage.reader), this->AddressOf(aSender),
           std::chrono::floor<Milliseconds>(this->clock.BootNow() - aAnswered.until) };
}

SnapshotOrigin
EndpointReplicator::OwnOrigin() const
{
  return { this->self.Key(), this->self.address, this->self.address, Milliseconds(0) };
}

std::string
EndpointReplicator::AddressOf(PeerKey aDaemon) const
{
  if (aDaemon == this->self.Key()) {
    return this->self.address;
  }
  const auto address = this->membership.AddressOf(aDaemon);
  return address ? address->address : "unknown";
}

void
EndpointReplicator::UpdateGuard()
{
  // Only after the snapshot has been published, as requests are sent on the published one
  if (this->asOf.load() != TimePoint::min()) {
    this->guard.SetAsOf(this->asOf, this->origin);
    this->hooks.onCurrent(this->asOf);
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
  if (!this->HasSnapshot()) {
    return;
  }
  // Aggregators of other groups first, as they forward the update
  if (aToOtherGroups) {
    this->SendUpdatesTo(this->plan.otherAggregators, UpdateScope::Group);
  }
  this->SendUpdatesTo(this->plan.groupMembers, UpdateScope::Receiver);
}

void
EndpointReplicator::SendUpdatesTo(std::span<const PeerAddress> aReceivers, UpdateScope aScope)
{
  this->changeLog.DropExpired(this->clock.BootNow());
  EndpointUpdateMessage message = this->MakeMessage();
  message.scope = aScope;
  // Sending all changes of the last seconds to every receiver would occupy a small host's link for longer than the
  // timeout of a message, so each receiver is sent only what it has not acknowledged. Most have acknowledged the same
  // version, so each distinct message is encoded once
  std::map<LogPosition, std::string> encoded;
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
      receiver, kEndpointUpdate, this->EncodeHeaderFor(receiver.key) + bytes->second,
      this->settings.timeout, [this, key = receiver.key](const Result<std::string>& aReply) {
        if (aReply) {
          this->OnReply(key, aReply.value());
        }
      });
  }
}

std::int64_t
EndpointReplicator::NowInMessages() const
{
  return std::chrono::floor<Milliseconds>(this->clock.BootNow().time_since_epoch()).count();
}

std::string
EndpointReplicator::EncodeHeaderFor(PeerKey aReceiver) const
{
  EndpointUpdateHeader header;
  const auto replies = this->replyDelays.find(aReceiver);
  const auto difference =
    replies == this->replyDelays.end() ? std::nullopt : replies->second.BaseDifference();
  if (difference) {
    header = { true, difference->count() };
  }
  return EncodePeerMessage(header);
}

EndpointUpdateMessage
EndpointReplicator::MakeMessage()
{
  EndpointUpdateMessage message;
  message.sentAt = this->NowInMessages();
  message.age = this->Age().count();
  message.answeredFor =
    std::chrono::floor<Milliseconds>(this->answeredSpan.until - this->answeredSpan.since).count();
  message.endVersion = *this->endVersion;
  message.digest = this->Digest();
  message.configurationVersion = this->hooks.configurationVersion();
  message.reader = this->origin.readerKey;
  return message;
}

void
EndpointReplicator::OnReply(PeerKey aReceiver, std::string_view aReply)
{
  const auto reply = DecodePeerMessage<EndpointUpdateReply>(aReply);
  if (reply) {
    static_cast<void>(this->replyDelays[aReceiver].OnMessage(Milliseconds(reply->repliedAt),
                                                             this->clock.BootNow()));
  }
  if (reply && reply->hasFullSnapshot) {
    this->acknowledgedVersions[aReceiver] = reply->endVersion;
  } else {
    this->acknowledgedVersions.erase(aReceiver);
  }
}

std::string
EndpointReplicator::HandleUpdate(PeerKey aSender, std::string_view aBytes)
{
  const std::size_t headerBytes = std::min(aBytes.size(), EncodedSizeOfUpdateHeader());
  const auto header = DecodePeerMessage<EndpointUpdateHeader>(aBytes.substr(0, headerBytes));
  const auto message = DecodePeerMessage<EndpointUpdateMessage>(aBytes.substr(headerBytes));
  if (!header || !message) {
    kLog.Warning("Malformed endpoint update from a daemon; ignored.");
    return {};
  }
  const Milliseconds delay = this->DelayBoundOf(aSender, *header, message->sentAt);
  const auto age = std::clamp<std::int64_t>(message->age, 0, kMaximumSnapshotAge.count());
  const TimePoint asOfTime = this->clock.BootNow() - delay - Milliseconds(age);
  this->ApplyUpdate(aSender, *message, AnsweredSpanUntil(asOfTime, *message));
  return EncodePeerMessage(EndpointUpdateReply{ this->endVersion.has_value(),
                                                this->endVersion.value_or(LogPosition()),
                                                this->NowInMessages() });
}

void
EndpointReplicator::ApplyUpdate(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                                const AvailabilityInterval& aSpan)
{
  const bool wasCurrent = this->IsCurrent();
  const bool isPlausible = aMessage.age >= 0 && aMessage.age <= kMaximumSnapshotAge.count();
  const bool isContinuous = this->endVersion &&
                            aMessage.endVersion.epoch == this->endVersion->epoch &&
                            aMessage.firstVersion <= *this->endVersion;
  const bool isUsable = isContinuous || this->BeginsLaterEpoch(aMessage);
  this->incoming = this->OriginOf(aSender, aMessage, aSpan);
  const bool isChange = this->ApplyEntries(aMessage);
  if (isPlausible && isUsable) {
    this->AdvanceTo(aSpan, aMessage.endVersion, this->incoming);
    this->role.OnUpdate(aSpan.until, this->plan.RankOf(aMessage.reader));
  }
  if (isChange) {
    this->OnSnapshotChanged();
  }
  this->UpdateGuard();
  this->newestPeerConfiguration =
    std::max(this->newestPeerConfiguration.load(), aMessage.configurationVersion);
  if (!this->endVersion || aMessage.endVersion.epoch == this->endVersion->epoch) {
    this->CompareDigest(aMessage.digest);
  }
  if (!this->role.IsAggregator()) {
    return;
  }
  const bool isNew = isChange || (!wasCurrent && this->IsCurrent());
  if (aMessage.scope == UpdateScope::Group) {
    this->SendUpdates(false);
  } else if (aMessage.scope == UpdateScope::Deployment && isNew) {
    this->SendUpdates(true);
  }
}

bool
EndpointReplicator::BeginsLaterEpoch(const EndpointUpdateMessage& aMessage) const
{
  return this->endVersion && aMessage.endVersion.epoch > this->endVersion->epoch &&
         aMessage.firstVersion == LogPosition(0, aMessage.endVersion.epoch);
}

bool
EndpointReplicator::ApplyEntries(const EndpointUpdateMessage& aMessage)
{
  const bool isOtherEpoch =
    this->endVersion && aMessage.endVersion.epoch != this->endVersion->epoch;
  if (isOtherEpoch && !this->BeginsLaterEpoch(aMessage)) {
    return false;
  }
  const FleetSnapshotPtr before = this->directory.Snapshot();
  if (isOtherEpoch) {
    this->OnSourceRestored(aMessage.endVersion.epoch);
  }
  bool isChange = false;
  for (const EndpointRecord& entry : aMessage.entries) {
    isChange = this->HandleRecord(entry, true) || isChange;
  }
  if (isOtherEpoch || aMessage.isComplete) {
    this->RemoveAllMissing(*before, aMessage.entries, aMessage.endVersion);
    isChange = std::exchange(this->hasUnpublishedChanges, false) || isChange;
  }
  return isChange;
}

Milliseconds
EndpointReplicator::DelayBoundOf(PeerKey aSender, const EndpointUpdateHeader& aHeader,
                                 std::int64_t aSentAt)
{
  const TimePoint now = this->clock.BootNow();
  const Milliseconds estimate = this->delays[aSender].OnMessage(Milliseconds(aSentAt), now);

  if (!aHeader.hasClockDifference) {
    return std::max(estimate, this->settings.timeout);
  }
  const Milliseconds difference =
    std::chrono::ceil<Milliseconds>(now.time_since_epoch()) - Milliseconds(aSentAt);
  const Milliseconds bound = difference + Milliseconds(aHeader.clockDifference);
  // One of the two clocks has restarted since the reply
  const bool isPlausible = bound >= estimate && bound <= kLongestDelay;
  return isPlausible ? bound : std::max(estimate, this->settings.timeout);
}

AvailabilityInterval
EndpointReplicator::AnsweredSpanUntil(TimePoint aAsOf, const EndpointUpdateMessage& aMessage)
{
  const auto answeredFor =
    std::clamp<std::int64_t>(aMessage.answeredFor, 0, kMaximumSnapshotAge.count());
  return { aAsOf - Milliseconds(answeredFor), aAsOf };
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
  this->isSourceLost = !aAnswers;
  this->guard.OnSourceReachability(aAnswers);
  this->lapses.OnOutage();
  this->directory.SetSourceAvailable(aAnswers);
}

bool
EndpointReplicator::WatchesSource() const
{
  return this->role.Rank() < kReaderRanks || this->ReadsForOthers() || !this->IsCurrent();
}

Milliseconds
EndpointReplicator::ReadInterval() const
{
  if (this->ReadsForOthers()) {
    return this->settings.readerInterval;
  }
  if (this->needsRepair) {
    return Milliseconds(0);
  }
  if (this->IsCurrent()) {
    return this->settings.listenerInterval;
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
  this->LogRole();
  this->QueryPeer();
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
                 { { "age_ms", age.count() },
                   { "reads_itself", this->WatchesSource() },
                   { "source_lost", this->isSourceLost },
                   { "rank", this->role.Rank() },
                   { "from", this->origin.sender },
                   { "reader", this->origin.reader },
                   { "age_on_arrival_ms", this->origin.age.count() } });
    }
  } else if (wasStale) {
    kLog.Event("endpoints_current", { { "longest_ms", this->longestStaleAge.count() } });
    this->longestStaleAge = Milliseconds(0);
  }
}

void
EndpointReplicator::LogRole()
{
  const bool isReading = this->ReadsForOthers();
  if (std::exchange(this->hasLoggedReading, isReading) != isReading) {
    kLog.Event("reads_for_others", { { "active", isReading },
                                     { "rank", this->role.Rank() },
                                     { "supplied_age_ms", this->role.SuppliedAge().count() },
                                     { "source_lost", this->isSourceLost } });
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
  this->role.SetRank(this->plan.RankOf(this->self.Key()),
                     static_cast<int>(this->plan.allAggregators.size()));
  this->daemonCount = this->plan.daemonCount;
  const auto contains = [](const std::vector<PeerAddress>& aDaemons, PeerKey aKey) {
    return std::any_of(aDaemons.begin(), aDaemons.end(),
                       [&](const PeerAddress& aEach) { return aEach.key == aKey; });
  };
  const auto isNoReceiver = [&](const auto& aReceiver) {
    return !contains(this->plan.groupMembers, aReceiver.first) &&
           !contains(this->plan.otherAggregators, aReceiver.first);
  };
  std::erase_if(this->acknowledgedVersions, isNoReceiver);
  std::erase_if(this->replyDelays, isNoReceiver);
  std::erase_if(this->delays, [&](const auto& aSender) {
    return !contains(this->plan.allAggregators, aSender.first) &&
           !contains(this->plan.groupMembers, aSender.first);
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
  const auto isGone = [&](const auto& aKnown) { return fleet->Find(aKnown.first) == nullptr; };
  std::erase_if(this->versions, isGone);
  std::erase_if(this->records, isGone);
}

} // namespace lagoonward
