#include "Lagoonward/Membership/UpdateDisseminator.h"

#include "Lagoonward/Membership/FrameCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Bytes reserved for membership changes in a datagram with loads.
constexpr std::size_t kChangeBytesWithLoads = 280;

/// Bytes of the fixed fields of a datagram: header, tag, nonce, subject, digest.
constexpr std::size_t kFixedBytes = kDatagramOverhead + 29;

/// Bytes available for membership changes after the other updates of a datagram.
std::size_t
BytesForChanges(const Datagram& aDatagram, std::size_t aLimit)
{
  const std::size_t used = kFixedBytes + aDatagram.loads.size() * kEndpointLoadUpdateBytes +
                           aDatagram.states.size() * kEndpointStateUpdateBytes +
                           aDatagram.versions.size() * kVersionAnnouncementBytes;
  return used >= aLimit ? 0 : aLimit - used;
}

/// Removes from the front as many versions as fit.
std::vector<VersionAnnouncement>
TakeFittingVersions(std::span<const VersionAnnouncement>& aVersions, std::size_t aBytes)
{
  const auto fitting =
    aVersions.first(std::min(aVersions.size(), aBytes / kVersionAnnouncementBytes));
  aVersions = aVersions.subspan(fitting.size());
  return { fitting.begin(), fitting.end() };
}

} // namespace

UpdateDisseminator::UpdateDisseminator(Components aComponents, const MembershipSettings& aSettings)
  : components(aComponents)
  , settings(aSettings)
{
}

void
UpdateDisseminator::Send(PeerKey aPeer, Datagram aDatagram)
{
  const Peer* const peer = this->components.peers.Find(aPeer);
  if (peer == nullptr) {
    return;
  }
  if (aDatagram.kind != DatagramKind::Gossip) {
    aDatagram.incarnation = this->components.peers.Incarnation();
    aDatagram.state = this->components.peers.OwnState();
    aDatagram.digest = this->components.exchange.DigestFor(aPeer);
  }
  const std::size_t bytes = BytesForChanges(aDatagram, this->settings.transport.maximumDatagram);
  aDatagram.peers = this->components.peers.TakeChanges(aPeer, bytes);
  this->components.transport.Send({ aPeer, peer->info.address, peer->info.port }, aDatagram);
}

void
UpdateDisseminator::SendLoads()
{
  const auto receivers =
    this->components.peers.Region().Successors(this->settings.loads.loadFanout);
  if (receivers.empty()) {
    return;
  }
  const std::size_t bytes =
    this->settings.transport.maximumDatagram - kFixedBytes - kChangeBytesWithLoads;
  Datagram datagram;
  datagram.loads = this->components.loads.TakeLoads(bytes, receivers.size());
  while (!datagram.loads.empty()) {
    for (const PeerKey peer : receivers) {
      this->Send(peer, datagram);
    }
    datagram.loads = this->components.loads.TakeLoads(bytes, receivers.size());
  }
}

bool
UpdateDisseminator::SendUpdates()
{
  // Endpoint states and regional versions are sent within the region only
  const PeerExchange::Announcements announcements = this->components.exchange.TakeAnnouncements();
  std::vector<VersionAnnouncement> inRegion = announcements.regional;
  inRegion.insert(inRegion.end(), announcements.global.begin(), announcements.global.end());
  const std::size_t bytes = this->settings.transport.maximumDatagram - kFixedBytes;
  std::vector<EndpointStateUpdate> states =
    this->components.loads.TakeStates(bytes / kEndpointStateUpdateBytes);
  const bool hasStates = !states.empty();
  this->SendInRegion(std::move(states), inRegion);
  this->SendToOtherRegions(announcements.global);
  return hasStates;
}

void
UpdateDisseminator::SendOwnState()
{
  for (const PeerKey peer :
       this->components.peers.Region().Successors(this->settings.loads.updateFanout)) {
    this->Send(peer, Datagram());
  }
}

void
UpdateDisseminator::SendInRegion(std::vector<EndpointStateUpdate> aStates,
                                 std::span<const VersionAnnouncement> aVersions)
{
  const std::size_t bytes = this->settings.transport.maximumDatagram - kFixedBytes;
  const auto receivers =
    this->components.peers.Region().Successors(this->settings.loads.updateFanout);
  while (!aVersions.empty() || !aStates.empty()) {
    Datagram datagram;
    datagram.states = std::move(aStates);
    datagram.versions =
      TakeFittingVersions(aVersions, bytes - datagram.states.size() * kEndpointStateUpdateBytes);
    for (const PeerKey peer : receivers) {
      this->Send(peer, datagram);
    }
    aStates = this->components.loads.TakeStates(bytes / kEndpointStateUpdateBytes);
  }
}

void
UpdateDisseminator::SendToOtherRegions(std::span<const VersionAnnouncement> aVersions)
{
  const std::size_t bytes = this->settings.transport.maximumDatagram - kFixedBytes;
  while (!aVersions.empty()) {
    Datagram datagram;
    datagram.versions = TakeFittingVersions(aVersions, bytes);
    for (const PeerKey peer : this->components.peers.RemotePeers()) {
      this->Send(peer, datagram);
    }
  }
}

} // namespace lagoonward
