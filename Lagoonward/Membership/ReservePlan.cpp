#include "Lagoonward/Membership/ReservePlan.h"

namespace lagoonward {

ReservePlan::ReservePlan(const PeerInfo& aSelf, bool aStands, const PeerView& aView)
{
  const auto add = [this](const PeerInfo& aInfo, PeerKey aKey) {
    this->daemons.push_back(
      { { aKey, aInfo.address, aInfo.port }, HashBytes(aInfo.failureDomain) });
  };
  if (aStands) {
    add(aSelf, aSelf.Key());
  }
  for (const Peer& peer : aView.peers) {
    // A suspected one may live; who is known by address only, as a seed, may not
    const bool mayLive = peer.state == PeerState::Alive || peer.state == PeerState::Suspect;
    if (mayLive && !peer.info.failureDomain.empty() && peer.info.region == aSelf.region) {
      add(peer.info, peer.key);
    }
  }
}

const ReserveHolders&
ReservePlan::HoldersOf(std::uint64_t aClient)
{
  const auto found = this->known.find(aClient);
  if (found != this->known.end()) {
    return found->second;
  }
  const auto heaviest = [&](const Standing* aFirst) {
    const Standing* best = nullptr;
    std::uint64_t most = 0;
    bool isElsewhere = false;
    for (const Standing& each : this->daemons) {
      if (&each == aFirst) {
        continue;
      }
      const bool elsewhere = aFirst != nullptr && each.domain != aFirst->domain;
      const std::uint64_t weight = RendezvousWeight(aClient, each.address.key);
      const bool isBetter = elsewhere == isElsewhere ? weight > most : elsewhere;
      if (best == nullptr || isBetter) {
        best = &each;
        most = weight;
        isElsewhere = elsewhere;
      }
    }
    return best;
  };
  ReserveHolders holders;
  if (const Standing* primary = heaviest(nullptr)) {
    holders.primary = primary->address;
    if (const Standing* backup = heaviest(primary)) {
      holders.backup = backup->address;
    }
  }
  return this->known.emplace(aClient, std::move(holders)).first->second;
}

} // namespace lagoonward
