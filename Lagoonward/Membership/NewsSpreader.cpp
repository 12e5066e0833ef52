#include "Lagoonward/Membership/NewsSpreader.h"

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
  const std::size_t used = kFixedBytes + aDatagram.loads.size() * kLoadFactBytes +
                           aDatagram.states.size() * kStateFactBytes +
                           aDatagram.versions.size() * kVersionNoteBytes;
  return used >= aLimit ? 0 : aLimit - used;
}

/// Removes from the front as many versions as fit.
std::vector<VersionNote>
TakeFittingVersions(std::span<const VersionNote>& aVersions, std::size_t aBytes)
{
  const auto fitting = aVersions.first(std::min(aVersions.size(), aBytes / kVersionNoteBytes));
  aVersions = aVersions.subspan(fitting.size());
  return { fitting.begin(), fitting.end() };
}

} // namespace

NewsSpreader::NewsSpreader(Components aComponents, const MembershipSettings& aSettings)
  : components(aComponents)
  , settings(aSettings)
{
}

void
NewsSpreader::Send(PeerKey aPeer, Datagram aDatagram)
{
  const Peer* const peer = this->components.peers.Find(aPeer);
  if (peer == nullptr) {
    return;
  }
  if (aDatagram.kind != DatagramKind::Spread) {
    aDatagram.incarnation = this->components.peers.Incarnation();
    aDatagram.state = this->components.peers.OwnState();
    aDatagram.digest = this->components.exchange.DigestFor(aPeer);
  }
  const std::size_t bytes = BytesForChanges(aDatagram, this->settings.transport.maximumDatagram);
  aDatagram.peers = this->components.peers.TakeChanges(aPeer, bytes);
  this->components.transport.Send({ aPeer, peer->info.address, peer->info.port }, aDatagram);
}

void
NewsSpreader::SendLoads()
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
NewsSpreader::SendUpdates()
{
  // Endpoint states and regional versions are sent within the region only
  const PeerExchange::Notes notes = this->components.exchange.TakeNotes();
  std::vector<VersionNote> inRegion = notes.regional;
  inRegion.insert(inRegion.end(), notes.global.begin(), notes.global.end());
  const std::size_t bytes = this->settings.transport.maximumDatagram - kFixedBytes;
  std::vector<StateFact> states = this->components.loads.TakeStates(bytes / kStateFactBytes);
  const bool hasStates = !states.empty();
  this->SendInRegion(std::move(states), inRegion);
  this->SendToOtherRegions(notes.global);
  return hasStates;
}

void
NewsSpreader::SendOwnState()
{
  for (const PeerKey peer :
       this->components.peers.Region().Successors(this->settings.loads.updateFanout)) {
    this->Send(peer, Datagram());
  }
}

void
NewsSpreader::SendInRegion(std::vector<StateFact> aStates, std::span<const VersionNote> aVersions)
{
  const std::size_t bytes = this->settings.transport.maximumDatagram - kFixedBytes;
  const auto receivers =
    this->components.peers.Region().Successors(this->settings.loads.updateFanout);
  while (!aVersions.empty() || !aStates.empty()) {
    Datagram datagram;
    datagram.states = std::move(aStates);
    datagram.versions =
      TakeFittingVersions(aVersions, bytes - datagram.states.size() * kStateFactBytes);
    for (const PeerKey peer : receivers) {
      this->Send(peer, datagram);
    }
    aStates = this->components.loads.TakeStates(bytes / kStateFactBytes);
  }
}

void
NewsSpreader::SendToOtherRegions(std::span<const VersionNote> aVersions)
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
