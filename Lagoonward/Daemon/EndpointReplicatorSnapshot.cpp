#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <utility>

// Part of EndpointReplicator: the snapshot of another daemon for one that starts while the source does not answer.

namespace lagoonward {

namespace {

const Log kLog("endpoints");

/// Request type that is answered by an EndpointUpdateMessage with all records.
constexpr auto kEndpointSnapshot = ToRequestType(PeerRequest::EndpointSnapshot);

} // namespace

void
EndpointReplicator::RequestPeerSnapshot()
{
  const PeerViewPtr view = this->membership.Peers();
  if (this->endVersion || !this->isSourceLost || view->peers.empty()) {
    return;
  }
  // Daemons that start at the same time ask different ones, and a daemon that has none itself is asked once a round
  const std::size_t index =
    (static_cast<std::size_t>(this->self.Key()) + this->snapshotRequests++) % view->peers.size();
  const PeerKey peer = view->peers[index].info.Key();
  const auto address = this->membership.AddressOf(peer);
  if (!address) {
    return;
  }
  this->membership.Transport().Request(*address, kEndpointSnapshot, {}, this->settings.timeout,
                                       [this, peer](const Result<std::string>& aReply) {
                                         if (aReply && !aReply.value().empty()) {
                                           this->ApplyPeerSnapshot(peer, aReply.value());
                                         }
                                       });
}

std::string
EndpointReplicator::EncodeSnapshot()
{
  if (!this->endVersion || this->Age() > kMaximumSnapshotAge) {
    return {};
  }
  EndpointUpdateMessage message = this->MakeMessage();
  const FleetSnapshotPtr snapshot = this->directory.Snapshot();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    const auto record = this->records.find(endpoint.id);
    // A removed endpoint is retained as leaving, and its last record does not say so
    if (record != this->records.end() && !this->directory.IsRemoved(endpoint.id)) {
      message.entries.push_back(record->second);
    }
  }
  return EncodePeerMessage(std::move(message));
}

void
EndpointReplicator::ApplyPeerSnapshot(PeerKey aSender, std::string_view aBytes)
{
  const auto message = DecodePeerMessage<EndpointUpdateMessage>(aBytes);
  if (!message || message->age < 0 || message->age > kMaximumSnapshotAge.count()) {
    kLog.Warning("Malformed snapshot of the endpoints from a daemon; ignored.");
    return;
  }
  // The source may have answered meanwhile, or another daemon
  if (this->endVersion) {
    return;
  }
  const AvailabilityInterval answered = this->AnsweredSpanOf(aSender, *message);
  this->incoming = this->OriginOf(aSender, *message, answered);
  for (const EndpointRecord& entry : message->entries) {
    static_cast<void>(this->HandleRecord(entry, true));
  }
  this->StartChangeLog(message->endVersion);
  this->AdvanceTo(answered, message->endVersion, this->incoming);
  kLog.Event("endpoints_from_peer",
             { { "count", message->entries.size() }, { "age_ms", this->Age().count() } });
  this->hooks.onPeerSnapshot();
  this->OnSnapshotChanged();
  this->UpdateGuard();
}

} // namespace lagoonward
