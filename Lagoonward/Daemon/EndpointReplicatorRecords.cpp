#include "Lagoonward/Daemon/EndpointReplicator.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

// Part of EndpointReplicator: applies records of the source and of other daemons to the directory of endpoints.

namespace lagoonward {

namespace {

const Log kLog("endpoints");

std::int64_t
ElapsedMilliseconds(TimePoint aSince, const Clock& aClock)
{
  return std::chrono::floor<Milliseconds>(aClock.Now() - aSince).count();
}

} // namespace

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
  const bool isRestored = aRecord.evidence == RecordEvidence::Restored;
  // An older copy lists endpoints that have left since. One that lives writes again
  if (isRestored && !isNew && !this->directory.IsLive(aRecord.id)) {
    kLog.Event("endpoint_not_restored",
               { { "endpoint", aRecord.id }, { "version", aRecord.version.offset } });
    this->changeLog.Add(aRecord, false, this->clock.BootNow());
    return false;
  }
  const bool isChange =
    aRecord.removed ? this->ApplyRemoval(aRecord, aFromPeer) : this->ApplyEntry(aRecord, aFromPeer);
  if (!aRecord.removed) {
    this->records[aRecord.id] = aRecord;
    this->records[aRecord.id].evidence = RecordEvidence::None;
  }
  if (isRestored) {
    aRecord.evidence = RecordEvidence::Restored;
  }
  // Each aggregator forwards records that another has read first, as one of them may not reach all daemons. Whether a
  // removal takes effect at once depends on which daemons saw an outage of the source, so each daemon decides for
  // itself
  if (isChange || aRecord.removed || isRestored) {
    this->changeLog.Add(aRecord, false, this->clock.BootNow());
  }
  return isChange;
}

TimePoint
EndpointReplicator::EarliestWriteOf(LogPosition aVersion) const
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
    const SnapshotOrigin source = aFromPeer ? this->incoming : this->OwnOrigin();
    kLog.Event("endpoint_removed", { { "endpoint", aRecord.id },
                                     { "version", aRecord.version.offset },
                                     { "from_peer", aFromPeer },
                                     { "from", source.sender },
                                     { "reader", source.reader },
                                     { "age_on_arrival_ms", source.age.count() },
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
  const TimePoint decodingSince = this->clock.Now();
  auto endpoint = this->hooks.decode(aRecord);
  if (!endpoint) {
    return this->RefuseRecord(aRecord, endpoint.error().message, decodingSince);
  }
  const bool isLeaving = endpoint.value().state == EndpointState::Leaving;
  const std::string service = endpoint.value().name;
  const std::string software = endpoint.value().softwareVersion;
  const std::int64_t incarnation = endpoint.value().incarnation;
  const bool isReclaimable = endpoint.value().reclaimable;
  const bool wasRemoved = this->directory.IsRemoved(aRecord.id);
  const EntryOutcome outcome = this->directory.OnEntry(
    std::move(endpoint.value()), aRecord.evidence == RecordEvidence::Returned);
  if (outcome == EntryOutcome::Unchanged) {
    if (wasRemoved) {
      kLog.Event("endpoint_not_returned",
                 { { "endpoint", aRecord.id }, { "version", aRecord.version.offset } });
    }
    return false;
  }
  aRecord.evidence =
    outcome == EntryOutcome::Returned ? RecordEvidence::Returned : RecordEvidence::None;
  const SnapshotOrigin source = aFromPeer ? this->incoming : this->OwnOrigin();
  kLog.Event("endpoint", { { "endpoint", aRecord.id },
                           { "version", aRecord.version.offset },
                           { "from_peer", aFromPeer },
                           { "from", source.sender },
                           { "reader", source.reader },
                           { "age_on_arrival_ms", source.age.count() },
                           { "service", service },
                           { "software", software },
                           { "born", incarnation },
                           { "leaving", isLeaving },
                           { "returned", wasRemoved },
                           { "reclaimable", isReclaimable } });
  return true;
}

bool
EndpointReplicator::RefuseRecord(const EndpointRecord& aRecord, const std::string& aReason,
                                 TimePoint aDecodingSince)
{
  ++this->refusedRecords;
  std::string& last = this->refusalReasons[aRecord.id];
  if (last != aReason) {
    kLog.Event(LogLevel::Warning, "endpoint_refused",
               { { "endpoint", aRecord.id },
                 { "reason", aReason },
                 { "bytes", aRecord.text.size() },
                 { "decode_ms", ElapsedMilliseconds(aDecodingSince, this->clock) } });
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
EndpointReplicator::OnFullRead(const std::vector<EndpointRecord>& aRecords, LogPosition aEndVersion)
{
  const FleetSnapshotPtr before = this->directory.Snapshot();
  const bool isRestored = this->endVersion && aEndVersion.epoch > this->endVersion->epoch;
  if (isRestored) {
    this->OnSourceRestored(aEndVersion.epoch);
  }
  for (EndpointRecord record : aRecords) {
    record.evidence = isRestored ? RecordEvidence::Restored : record.evidence;
    const bool isChange = this->HandleRecord(std::move(record), false);
    this->hasUnpublishedChanges = isChange || this->hasUnpublishedChanges;
  }
  this->RemoveAllMissing(*before, aRecords, aEndVersion);
  if (!this->endVersion) {
    this->StartChangeLog(aEndVersion);
  }
  kLog.Event("endpoints",
             { { "count", aRecords.size() }, { "changed", this->hasUnpublishedChanges } });
}

void
EndpointReplicator::OnSourceRestored(std::int64_t aEpoch)
{
  kLog.Event(LogLevel::Warning, "endpoints_restored",
             { { "epoch", aEpoch },
               { "epoch_before", this->endVersion->epoch },
               { "end_before", this->endVersion->offset } });
  this->lapses.OnOutage();
  this->directory.OnSourceRestored();
  // The log is to contain all records of the new epoch, so that other daemons need not read them
  this->changeLog.StartAt({ 0, aEpoch });
}

void
EndpointReplicator::RemoveAllMissing(const FleetSnapshot& aBefore,
                                     std::span<const EndpointRecord> aRecords,
                                     LogPosition aEndVersion)
{
  std::unordered_set<std::string_view> present;
  for (const EndpointRecord& record : aRecords) {
    present.insert(record.id);
  }
  for (const Endpoint& endpoint : aBefore.endpoints) {
    // Records of newer versions, received since the read, are not part of it
    const auto version = this->versions.find(endpoint.id);
    const bool isNewer = version != this->versions.end() && version->second >= aEndVersion;
    if (!isNewer && !present.contains(endpoint.id)) {
      this->RemoveMissing(endpoint, aEndVersion);
    }
  }
}

void
EndpointReplicator::RemoveMissing(const Endpoint& aEndpoint, LogPosition aEndVersion)
{
  const LogPosition lastVersion(aEndVersion.offset - 1, aEndVersion.epoch);
  EndpointRecord removal{ aEndpoint.id, {}, lastVersion, true };
  this->hasUnpublishedChanges = this->ApplyRemoval(removal, false) || this->hasUnpublishedChanges;
  if (aEndpoint.state != EndpointState::Leaving) {
    this->changeLog.Add(removal, true, this->clock.BootNow());
  }
}

void
EndpointReplicator::StartChangeLog(LogPosition aEndVersion)
{
  // Records received before the first full read were not added to the change log
  LogPosition firstVersion = aEndVersion;
  for (const auto& [id, version] : this->versions) {
    firstVersion = std::max(firstVersion, version.Next());
  }
  this->changeLog.StartAt(firstVersion);
  this->endVersion = aEndVersion;
}

} // namespace lagoonward
