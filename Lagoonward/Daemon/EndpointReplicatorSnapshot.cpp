#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <utility>

// Part of EndpointReplicator: queries for what another daemon knows, of a daemon whose snapshot is old, or which has none
// as it has started while the source does not answer.

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type of an EndpointQuery, which is answered by an EndpointUpdateMessage.
constexpr auto kEndpointQuery = ToRequestType(PeerRequest::EndpointQuery);

} // namespace

void
EndpointReplicator::QueryPeer()
{
  const bool isNeeded = this->endVersion ? !this->IsCurrent() : this->isSourceLost;
  if (!isNeeded) {
    this->queryPause = this->settings.tickInterval;
  }
  const TimePoint now = this->clock.Now();
  const PeerViewPtr view = this->link.Peers();
  if (!isNeeded || now < this->nextQueryAt || this->isQueryPending || view->peers.empty()) {
    return;
  }
  this->nextQueryAt = now + this->queryPause;
  // If nobody reaches the source, all ask
  if (this->endVersion) {
    this->queryPause = std::min(2 * this->queryPause, this->settings.maximumDirectReadInterval);
  }
  // Daemons that need it at the same time ask different ones, and one that knows no more is asked once a round
  const std::size_t index =
    (static_cast<std::size_t>(this->self.Key()) + this->queries++) % view->peers.size();
  const PeerKey peer = view->peers[index].info.Key();
  const auto address = this->link.AddressOf(peer);
  if (!address) {
    return;
  }
  EndpointQuery query;
  if (this->HasSnapshot()) {
    query = { true, *this->endVersion, this->Age().count() };
  }
  this->isQueryPending = true;
  this->link.Request(
    *address, kEndpointQuery, EncodePeerMessage(query), this->settings.timeout,
    [this, peer, requestedAt = this->clock.BootNow()](const Result<std::string>& aReply) {
      this->isQueryPending = false;
      if (aReply && !aReply.value().empty()) {
        this->ApplyReply(peer, requestedAt, aReply.value());
      }
    });
}

std::string
EndpointReplicator::AnswerQuery(std::string_view aBytes)
{
  const auto query = DecodePeerMessage<EndpointQuery>(aBytes);
  const bool hasVersion = query && query->hasFullSnapshot;
  // While the query was on its way both snapshots grew older, so the versions count, too
  const bool knowsMore =
    !hasVersion || (this->HasSnapshot() && *this->endVersion > query->endVersion);
  if (!this->HasSnapshot() || (!knowsMore && this->Age().count() >= query->age)) {
    return {};
  }
  this->changeLog.DropExpired(this->clock.BootNow());
  EndpointUpdateMessage message = this->MakeMessage();
  const bool isCovered = hasVersion && query->endVersion.epoch == this->endVersion->epoch &&
                         query->endVersion >= this->changeLog.FirstVersion();
  if (isCovered) {
    this->AddChanges(message, query->endVersion);
  } else {
    message.firstVersion = LogPosition(0, this->endVersion->epoch);
    message.isComplete = true;
    message.entries = this->AllRecords();
    if (EncodedBytes(message.entries) > this->settings.maximumMessageBytes) {
      kLog.Event(LogLevel::Warning, "endpoint_snapshot_too_large",
                 { { "records", message.entries.size() },
                   { "bytes", EncodedBytes(message.entries) },
                   { "maximum", this->settings.maximumMessageBytes } });
      return {};
    }
  }
  return EncodePeerMessage(std::move(message));
}

std::vector<EndpointRecord>
EndpointReplicator::AllRecords()
{
  std::vector<EndpointRecord> all;
  const FleetSnapshotPtr snapshot = this->directory.Snapshot();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    const auto record = this->records.find(endpoint.id);
    // A removed endpoint is retained as leaving, and its last record does not say so
    if (record != this->records.end() && !this->directory.IsRemoved(endpoint.id)) {
      all.push_back(record->second);
    }
  }
  return all;
}

void
EndpointReplicator::ApplyReply(PeerKey aSender, TimePoint aRequestedAt, std::string_view aBytes)
{
  const auto message = DecodePeerMessage<EndpointUpdateMessage>(aBytes);
  if (!message || message->age < 0 || message->age > kMaximumSnapshotAge.count()) {
    kLog.Warning("Malformed snapshot of the endpoints from a daemon; ignored.");
    return;
  }
  // The sender stated the age after the request had been sent
  const AvailabilityInterval span =
    AnsweredSpanUntil(aRequestedAt - Milliseconds(message->age), *message);
  if (!this->endVersion && message->isComplete) {
    this->ApplyFirstSnapshot(aSender, *message, span);
  } else if (this->endVersion) {
    // Its entries may be new even if the round trip took too long to show that the snapshot is younger
    this->ApplyUpdate(aSender, *message, span);
  }
}

void
EndpointReplicator::ApplyFirstSnapshot(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                                       const AvailabilityInterval& aSpan)
{
  this->incoming = this->OriginOf(aSender, aMessage, aSpan);
  for (const EndpointRecord& entry : aMessage.entries) {
    static_cast<void>(this->HandleRecord(entry, true));
  }
  this->StartChangeLog(aMessage.endVersion);
  this->AdvanceTo(aSpan, aMessage.endVersion, this->incoming);
  kLog.Event("endpoints_from_peer",
             { { "count", aMessage.entries.size() }, { "age_ms", this->Age().count() } });
  this->hooks.onPeerSnapshot();
  this->OnSnapshotChanged();
  this->UpdateGuard();
}

} // namespace lagoonward
