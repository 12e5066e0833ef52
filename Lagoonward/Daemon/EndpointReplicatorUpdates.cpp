#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <map>
#include <utility>

// Part of EndpointReplicator: updates between daemons.

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type of an EndpointUpdateMessage, which is answered by an EndpointUpdateReply.
constexpr auto kEndpointUpdate = ToRequestType(PeerRequest::EndpointUpdate);

/// No message that arrives has been in transit for longer, as its sender and its connection have timeouts.
constexpr Milliseconds kLongestDelay = Seconds(10);

} // namespace

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
  EndpointUpdateMessage state = this->MakeMessage();
  state.scope = aScope;
  // Sending all changes of the last seconds to every receiver would occupy a small host's link for longer than the
  // timeout of a message, so each receiver is sent only what it has not acknowledged. Most have acknowledged the same
  // version, so each distinct message is encoded once
  std::map<std::optional<LogPosition>, std::string> encoded;
  for (const PeerAddress& receiver : aReceivers) {
    const auto known = this->acknowledgedVersions.find(receiver.key);
    const auto acknowledged =
      known == this->acknowledgedVersions.end() ? std::nullopt : std::optional(known->second);
    const auto [bytes, isNew] = encoded.try_emplace(acknowledged);
    if (isNew) {
      EndpointUpdateMessage message = state;
      this->AddChanges(message, acknowledged);
      bytes->second = EncodePeerMessage(std::move(message));
    }
    // A receiver that does not answer reads the source directly, and is sent the same changes again
    this->link.Request(receiver, kEndpointUpdate,
                       this->EncodeHeaderFor(receiver.key) + bytes->second, this->settings.timeout,
                       [this, key = receiver.key](const Result<std::string>& aReply) {
                         if (aReply) {
                           this->OnReply(key, aReply.value());
                         }
                       });
  }
}

void
EndpointReplicator::AddChanges(EndpointUpdateMessage& aMessage,
                               std::optional<LogPosition> aAcknowledged) const
{
  const LogPosition logStart = this->changeLog.FirstVersion();
  aMessage.firstVersion = std::max(logStart, aAcknowledged.value_or(logStart));
  EndpointChangeLog::Part part =
    this->changeLog.ChangesFrom(aMessage.firstVersion, this->settings.maximumMessageBytes);
  aMessage.entries = std::move(part.records);
  if (!part.endVersion) {
    return;
  }
  kLog.Event("endpoint_changes_in_parts", { { "records", aMessage.entries.size() },
                                            { "bytes", EncodedBytes(aMessage.entries) },
                                            { "end", part.endVersion->offset },
                                            { "end_of_all", aMessage.endVersion.offset } });
  aMessage.age = kMaximumSnapshotAge.count();
  aMessage.answeredFor = 0;
  const bool isSameEpoch = aAcknowledged && aAcknowledged->epoch == aMessage.endVersion.epoch;
  if (isSameEpoch) {
    aMessage.endVersion = *part.endVersion;
    return;
  }
  // A receiver of an earlier epoch takes what it lacks for gone. The empty message brings its version with the reply; if
  // it has missed a restore, it reads the source directly
  aMessage.firstVersion = aMessage.endVersion;
  aMessage.entries.clear();
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
  const bool isSameEpoch =
    !this->endVersion || aMessage.endVersion.epoch == this->endVersion->epoch;
  if (isSameEpoch && !aMessage.IsPart()) {
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

} // namespace lagoonward
