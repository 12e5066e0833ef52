#include "Lagoonward/Daemon/EndpointReplicator.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointUpdateMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type of an EndpointUpdateMessage, which is answered by an EndpointUpdateReply.
constexpr auto kEndpointUpdate = ToRequestType(PeerRequest::EndpointUpdate);

/// Ranks that watch the source also while they receive updates: the primary and the standby reader.
constexpr int kReaderRanks = 2;

} // namespace

EndpointReplicator::EndpointReplicator(const EndpointReplicatorSettings& aSettings,
                                       DaemonLink& aLink, PeerInfo aSelf,
                                       EndpointReplicatorHooks aHooks, const Clock& aClock)
  : settings(aSettings)
  , link(aLink)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , clock(aClock)
  , directory(aSettings.directory, aClock)
  , lapses(aSettings.lapseTime, aSettings.directory.shortestOutage)
  , guard(aSettings.guard, aClock)
  , queryPause(aSettings.tickInterval)
  , changeLog(aSettings.changeRetention)
  , role(aSettings.reader, aClock)
{
  this->link.OnRequest(kEndpointUpdate, [this](PeerKey aSender, std::string_view aBytes,
                                               const PeerTransport::Responder& aRespond) {
    aRespond(this->HandleUpdate(aSender, aBytes));
  });
  this->link.OnRequest(
    ToRequestType(PeerRequest::EndpointQuery),
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->AnswerQuery(aBytes));
    });
}

void
EndpointReplicator::Start()
{
  this->UpdatePlan();
  this->link.Every(this->settings.tickInterval, [this] { this->Tick(); });
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
  const auto address = this->link.AddressOf(aDaemon);
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
  const PeerViewPtr view = this->link.Peers();
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
