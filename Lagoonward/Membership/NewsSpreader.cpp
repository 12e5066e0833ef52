#include "Lagoonward/Membership/NewsSpreader.h"

#include "Lagoonward/Membership/FrameCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Room that is left for membership changes in a datagram that carries loads.
constexpr std::size_t kChangeRoomBesideLoads = 280;

/// Bytes of a datagram's fields that news does not use: header, tag, nonce, subject, digest.
constexpr std::size_t kFixedBytes = kDatagramOverhead + 29;

/// Room for membership changes behind a datagram's other news.
std::size_t
RoomForChanges(const Datagram& aDatagram, std::size_t aLimit)
{
  const std::size_t used = kFixedBytes + aDatagram.loads.size() * kLoadFactBytes +
                           aDatagram.states.size() * kStateFactBytes +
                           aDatagram.versions.size() * kVersionNoteBytes;
  return used >= aLimit ? 0 : aLimit - used;
}

/// Takes as many notes off the front as fit.
std::vector<VersionNote>
TakeNotes(std::span<const VersionNote>& aNotes, std::size_t aRoom)
{
  const auto part = aNotes.first(std::min(aNotes.size(), aRoom / kVersionNoteBytes));
  aNotes = aNotes.subspan(part.size());
  return { part.begin(), part.end() };
}

} // namespace

NewsSpreader::NewsSpreader(Parts aParts, const MembershipSettings& aSettings)
  : parts(aParts)
  , settings(aSettings)
{
}

void
NewsSpreader::Send(PeerKey aPeer, Datagram aDatagram)
{
  const Peer* const peer = this->parts.peers.Find(aPeer);
  if (peer == nullptr) {
    return;
  }
  if (aDatagram.kind != DatagramKind::Spread) {
    aDatagram.incarnation = this->parts.peers.Incarnation();
    aDatagram.state = this->parts.peers.OwnState();
    aDatagram.digest = this->parts.exchange.DigestFor(aPeer);
  }
  const std::size_t room = RoomForChanges(aDatagram, this->settings.transport.maximumDatagram);
  aDatagram.peers = this->parts.peers.TakeChanges(aPeer, room);
  this->parts.transport.Send({ aPeer, peer->info.address, peer->info.port }, aDatagram);
}

void
NewsSpreader::SpreadLoads()
{
  const auto receivers = this->parts.peers.Region().Successors(this->settings.loads.loadFanout);
  if (receivers.empty()) {
    return;
  }
  const std::size_t room =
    this->settings.transport.maximumDatagram - kFixedBytes - kChangeRoomBesideLoads;
  Datagram datagram;
  datagram.loads = this->parts.loads.TakeLoads(room, receivers.size());
  while (!datagram.loads.empty()) {
    for (const PeerKey peer : receivers) {
      this->Send(peer, datagram);
    }
    datagram.loads = this->parts.loads.TakeLoads(room, receivers.size());
  }
}

bool
NewsSpreader::SpreadNews()
{
  // Endpoints are the region's own affair, as are some versions
  const PeerExchange::Notes notes = this->parts.exchange.TakeNotes();
  std::vector<VersionNote> inRegion = notes.regional;
  inRegion.insert(inRegion.end(), notes.global.begin(), notes.global.end());
  const std::size_t room = this->settings.transport.maximumDatagram - kFixedBytes;
  std::vector<StateFact> states = this->parts.loads.TakeStates(room / kStateFactBytes);
  const bool hasStates = !states.empty();
  this->SpreadInRegion(std::move(states), inRegion);
  this->SpreadToRegions(notes.global);
  return hasStates;
}

void
NewsSpreader::SpreadOwnState()
{
  for (const PeerKey peer :
       this->parts.peers.Region().Successors(this->settings.loads.updateFanout)) {
    this->Send(peer, Datagram());
  }
}

void
NewsSpreader::SpreadInRegion(std::vector<StateFact> aStates, std::span<const VersionNote> aNotes)
{
  const std::size_t room = this->settings.transport.maximumDatagram - kFixedBytes;
  const auto receivers = this->parts.peers.Region().Successors(this->settings.loads.updateFanout);
  while (!aNotes.empty() || !aStates.empty()) {
    Datagram datagram;
    datagram.states = std::move(aStates);
    datagram.versions = TakeNotes(aNotes, room - datagram.states.size() * kStateFactBytes);
    for (const PeerKey peer : receivers) {
      this->Send(peer, datagram);
    }
    aStates = this->parts.loads.TakeStates(room / kStateFactBytes);
  }
}

void
NewsSpreader::SpreadToRegions(std::span<const VersionNote> aNotes)
{
  const std::size_t room = this->settings.transport.maximumDatagram - kFixedBytes;
  while (!aNotes.empty()) {
    Datagram datagram;
    datagram.versions = TakeNotes(aNotes, room);
    for (const PeerKey peer : this->parts.peers.RemotePeers()) {
      this->Send(peer, datagram);
    }
  }
}

} // namespace lagoonward
