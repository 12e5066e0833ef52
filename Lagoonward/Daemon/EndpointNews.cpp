#include "Lagoonward/Daemon/EndpointNews.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointNewsMessages.h"
#include "Lagoonward/Daemon/PeerMessages.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// The message, a NewsMessage that is answered by a NewsAnswer; numbers above RequestType::FirstForeign are this folder's.
constexpr auto kEndpointNews =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 4);

/// Daemons that read for all: the first, and the next in line while the first is silent.
constexpr int kReadersForAll = 2;

/// A picture as old as this says nothing, and no longer answering of the source matters.
constexpr Milliseconds kOldest = Seconds(3600);

} // namespace

EndpointNews::EndpointNews(const EndpointNewsSettings& aSettings, MembershipService& aMembership,
                           PeerInfo aSelf, EndpointNewsHooks aHooks, const Clock& aClock)
  : settings(aSettings)
  , membership(aMembership)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , clock(aClock)
  , directory({}, aClock)
  , changes(aSettings.repeat)
{
  this->membership.Transport().OnRequest(
    kEndpointNews,
    [this](PeerKey aSender, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->TakeMessage(aSender, aBytes));
    });
}

void
EndpointNews::Start()
{
  this->UpdatePlan();
  this->membership.Loop().Every(this->settings.tick, [this] { this->Tick(); });
}

bool
EndpointNews::Take(const EndpointRecord& aRecord, bool aFromPeer)
{
  // The same record may come from the source and from several daemons, in any order
  const auto [known, isNew] = this->versions.try_emplace(aRecord.id, aRecord.version);
  if (!isNew && aRecord.version <= known->second) {
    return false;
  }
  known->second = aRecord.version;
  const bool isChange = this->Apply(aRecord, aFromPeer);
  // Each reader passes on what the other has read first, as one of them may not reach all. Whether a removal counts
  // at once depends on who saw an outage, so each daemon decides on its own
  if (isChange || aRecord.removed) {
    this->changes.Add(aRecord, false, this->clock.BootNow());
  }
  return isChange;
}

bool
EndpointNews::Apply(const EndpointRecord& aRecord, bool aFromPeer)
{
  if (aRecord.removed) {
    const bool isChange = this->directory.OnRemoved(aRecord.id);
    kLog.Event("endpoint_removed", { { "endpoint", aRecord.id },
                                     { "version", aRecord.version },
                                     { "from_peer", aFromPeer },
                                     { "in_force", isChange } });
    return isChange;
  }
  auto endpoint = this->hooks.decode(aRecord);
  if (!endpoint) {
    return this->Refuse(aRecord, endpoint.error().message);
  }
  const bool isLeaving = endpoint.value().state == EndpointState::Leaving;
  const std::string service = endpoint.value().name;
  const std::int64_t born = endpoint.value().born;
  const bool isReclaimable = endpoint.value().reclaimable;
  if (!this->directory.OnEntry(std::move(endpoint.value()))) {
    return false;
  }
  kLog.Event("endpoint", { { "endpoint", aRecord.id },
                           { "version", aRecord.version },
                           { "from_peer", aFromPeer },
                           { "service", service },
                           { "born", born },
                           { "leaving", isLeaving },
                           { "reclaimable", isReclaimable } });
  return true;
}

bool
EndpointNews::Refuse(const EndpointRecord& aRecord, const std::string& aReason)
{
  ++this->refused;
  std::string& last = this->refusals[aRecord.id];
  if (last != aReason) {
    kLog.Event(LogLevel::Warning, "endpoint_refused",
               { { "endpoint", aRecord.id }, { "reason", aReason } });
    last = aReason;
  }
  return this->directory.OnUnreadable(aRecord.id);
}

void
EndpointNews::OnRecord(const EndpointRecord& aRecord)
{
  this->isChanged = this->Take(aRecord, false) || this->isChanged;
}

void
EndpointNews::OnWhole(const std::vector<EndpointRecord>& aRecords, std::int64_t aEnd)
{
  const FleetSnapshotPtr before = this->directory.Snapshot();
  std::vector<std::string> ids;
  for (const EndpointRecord& record : aRecords) {
    ids.push_back(record.id);
    this->isChanged = this->Take(record, false) || this->isChanged;
  }
  // Who has been heard of since is not among them yet
  for (const auto& [id, version] : this->versions) {
    if (version >= aEnd) {
      ids.push_back(id);
    }
  }
  for (const Endpoint& endpoint : before->endpoints) {
    const bool isThere = std::find(ids.begin(), ids.end(), endpoint.id) != ids.end();
    if (!isThere && endpoint.state != EndpointState::Leaving) {
      this->changes.Add({ endpoint.id, {}, aEnd - 1, true }, true, this->clock.BootNow());
    }
  }
  this->isChanged = this->directory.OnWhole(ids) || this->isChanged;
  if (!this->end) {
    // What was heard before was not kept
    std::int64_t from = aEnd;
    for (const auto& [id, version] : this->versions) {
      from = std::max(from, version + 1);
    }
    this->changes.Begin(from);
    this->end = aEnd;
  }
  kLog.Event("endpoints", { { "count", aRecords.size() }, { "changed", this->isChanged } });
}

void
EndpointNews::OnRead(TimePoint aAsOf, std::int64_t aEnd)
{
  this->needsRepair = false;
  if (!this->ownAnsweredSince) {
    this->ownAnsweredSince = aAsOf;
  }
  if (this->end) {
    this->Extend({ *this->ownAnsweredSince, aAsOf }, aEnd);
  }
  // All that one read brought is one change: to publish the picture is dear
  if (std::exchange(this->isChanged, false)) {
    this->OnChanged();
  }
  if (this->tells) {
    this->Tell(this->rank < kReadersForAll);
  }
}

void
EndpointNews::Extend(const AnsweredSpan& aAnswered, std::int64_t aEnd)
{
  this->end = std::max(this->end.value_or(aEnd), aEnd);
  this->asOf = std::max(this->asOf.load(), aAnswered.until);
  this->answered.Add(aAnswered, this->settings.lateAfter);
  const auto suspended =
    this->clock.BootNow().time_since_epoch() - this->clock.Now().time_since_epoch();
  this->directory.OnSourceSeen(
    { this->answered.since - suspended, this->answered.until - suspended });
}

Milliseconds
EndpointNews::Age() const
{
  const TimePoint known = this->asOf;
  return known == TimePoint::min() ? Milliseconds::max()
                                   : std::chrono::ceil<Milliseconds>(this->clock.BootNow() - known);
}

void
EndpointNews::Tell(bool aToGroups)
{
  // Who has not read the whole knows less than it tells of, and its picture has no age yet
  if (!this->end || this->Age() > kOldest) {
    return;
  }
  this->changes.Forget(this->clock.BootNow());
  // Those who pass it on first
  if (aToGroups) {
    this->TellTo(this->plan.others, true);
  }
  this->TellTo(this->plan.members, false);
}

void
EndpointNews::TellTo(std::span<const PeerAddress> aReceivers, bool aForGroups)
{
  NewsMessage message;
  message.isForAll = aForGroups;
  message.sentAt =
    std::chrono::floor<Milliseconds>(this->clock.BootNow().time_since_epoch()).count();
  message.age = this->Age().count();
  message.answered =
    std::chrono::floor<Milliseconds>(this->answered.until - this->answered.since).count();
  message.end = *this->end;
  message.digest = this->Digest();
  message.configuration = this->hooks.configuration();
  // To repeat all changes of some seconds to everybody takes a small host's link for longer than a message may take, so
  // each is told what it has not confirmed. Most have confirmed the same
  std::map<std::int64_t, std::string> encoded;
  for (const PeerAddress& receiver : aReceivers) {
    const auto known = this->confirmed.find(receiver.key);
    message.from = this->changes.From();
    if (known != this->confirmed.end()) {
      message.from = std::max(message.from, known->second);
    }
    const auto [bytes, isNew] = encoded.try_emplace(message.from);
    if (isNew) {
      message.entries = this->changes.Since(message.from);
      bytes->second = EncodePeerMessage(message);
    }
    // One that does not answer reads by itself, and is told the same again
    this->membership.Transport().Request(
      receiver, kEndpointNews, bytes->second, this->settings.timeout,
      [this, key = receiver.key](const Result<std::string>& aAnswer) {
        if (aAnswer) {
          this->OnConfirmed(key, aAnswer.value());
        }
      });
  }
}

void
EndpointNews::OnConfirmed(PeerKey aReceiver, std::string_view aAnswer)
{
  const auto answer = DecodePeerMessage<NewsAnswer>(aAnswer);
  if (answer && answer->isWhole) {
    this->confirmed[aReceiver] = answer->end;
  } else {
    this->confirmed.erase(aReceiver);
  }
}

std::string
EndpointNews::TakeMessage(PeerKey aSender, std::string_view aBytes)
{
  const auto message = DecodePeerMessage<NewsMessage>(aBytes);
  if (!message) {
    kLog.Warning("A daemon sent malformed news of endpoints.");
    return {};
  }
  const TimePoint now = this->clock.BootNow();
  const Milliseconds delay = this->delays[aSender].OnMessage(Milliseconds(message->sentAt), now);
  bool isChange = false;
  for (const EndpointRecord& entry : message->entries) {
    isChange = this->Take(entry, true) || isChange;
  }
  const bool isPlausible = message->age >= 0 && message->age <= kOldest.count();
  if (isPlausible && this->end && message->from <= *this->end) {
    const std::int64_t answeredFor =
      std::clamp<std::int64_t>(message->answered, 0, kOldest.count());
    const TimePoint readAt = now - delay - Milliseconds(message->age);
    this->Extend({ readAt - Milliseconds(answeredFor), readAt }, message->end);
  }
  if (isChange) {
    this->OnChanged();
  }
  this->toldConfiguration = std::max(this->toldConfiguration.load(), message->configuration);
  this->CompareDigest(message->digest);
  if (message->isForAll && this->tells) {
    this->Tell(false);
  }
  return EncodePeerMessage(NewsAnswer{ this->end.has_value(), this->end.value_or(0) });
}

void
EndpointNews::CompareDigest(std::uint64_t aDigest)
{
  const TimePoint now = this->clock.Now();
  if (aDigest == this->Digest()) {
    this->differsSince.reset();
    return;
  }
  if (!this->differsSince) {
    this->differsSince = now;
  }
  const bool isPaused = this->repairedAt && now - *this->repairedAt < this->settings.repairPause;
  if (now - *this->differsSince >= this->settings.repairAfter && !isPaused) {
    kLog.Event(LogLevel::Warning, "endpoints_differ", { { "endpoints", this->versions.size() } });
    this->repairedAt = now;
    this->differsSince.reset();
    this->needsRepair = true;
  }
}

std::uint64_t
EndpointNews::Digest()
{
  if (!this->digest) {
    std::uint64_t sum = 0;
    const FleetSnapshotPtr picture = this->directory.Snapshot();
    for (const Endpoint& endpoint : picture->endpoints) {
      sum ^= endpoint.state == EndpointState::Live ? HashBytes(endpoint.id) : 0;
    }
    this->digest = sum;
  }
  return *this->digest;
}

void
EndpointNews::OnChanged()
{
  this->digest.reset();
  this->hooks.changed();
}

void
EndpointNews::OnSource(bool aAnswers)
{
  if (!aAnswers) {
    this->ownAnsweredSince.reset();
  }
  this->directory.OnSource(aAnswers);
}

bool
EndpointNews::WatchesSource() const
{
  return this->rank < kReadersForAll || !this->IsCurrent();
}

Milliseconds
EndpointNews::Silence() const
{
  const int steps = this->rank < kReadersForAll ? 0 : this->tells ? 1 : 2;
  return this->settings.readerSilence + this->settings.silenceStep * steps;
}

Milliseconds
EndpointNews::Pace() const
{
  if (this->rank == 0) {
    return this->settings.readerPace;
  }
  if (this->needsRepair) {
    return Milliseconds(0);
  }
  if (this->IsCurrent()) {
    return this->settings.listenerPace;
  }
  // The next in line reads for all now
  if (this->rank < kReadersForAll) {
    return this->settings.readerPace;
  }
  return std::clamp(this->settings.ownPacePerDaemon * this->daemons.load(),
                    this->settings.readerPace, this->settings.ownPaceLimit);
}

void
EndpointNews::Tick()
{
  this->UpdatePlan();
  this->Forget();
  this->NoteAge();
  if (this->directory.Tick()) {
    this->OnChanged();
  }
}

void
EndpointNews::NoteAge()
{
  if (!this->end) {
    return;
  }
  const Milliseconds age = this->Age();
  const bool wasLate = this->longestAge > Milliseconds(0);
  if (age > this->settings.lateAfter) {
    this->longestAge = std::max(this->longestAge, age);
    if (!wasLate) {
      kLog.Event(LogLevel::Warning, "endpoints_late",
                 { { "age_ms", age.count() }, { "reads_itself", this->WatchesSource() } });
    }
  } else if (wasLate) {
    kLog.Event("endpoints_current", { { "longest_ms", this->longestAge.count() } });
    this->longestAge = Milliseconds(0);
  }
}

void
EndpointNews::UpdatePlan()
{
  const PeerViewPtr view = this->membership.Peers();
  if (view == this->planned) {
    return;
  }
  this->planned = view;
  this->plan = MakeAggregationPlan(this->self, true, *view, {});
  this->rank = this->plan.RankOf(this->self.Key());
  this->tells = this->plan.IsAggregator(this->self.Key());
  this->daemons = this->plan.daemons;
  const auto isIn = [](const std::vector<PeerAddress>& aDaemons, PeerKey aKey) {
    return std::any_of(aDaemons.begin(), aDaemons.end(),
                       [&](const PeerAddress& aEach) { return aEach.key == aKey; });
  };
  std::erase_if(this->confirmed, [&](const auto& aReceiver) {
    return !isIn(this->plan.members, aReceiver.first) && !isIn(this->plan.others, aReceiver.first);
  });
  std::erase_if(this->delays,
                [&](const auto& aSender) { return !isIn(this->plan.candidates, aSender.first); });
}

void
EndpointNews::Forget()
{
  if (this->refusals.size() > this->settings.remembered) {
    this->refusals.clear();
  }
  if (this->versions.size() <= this->settings.remembered) {
    return;
  }
  const FleetSnapshotPtr fleet = this->directory.Snapshot();
  std::erase_if(this->versions,
                [&](const auto& aKnown) { return fleet->Find(aKnown.first) == nullptr; });
}

} // namespace lagoonward
