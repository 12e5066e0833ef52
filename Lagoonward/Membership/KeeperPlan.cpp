#include "Lagoonward/Membership/KeeperPlan.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Keys come from callers, too, so what is worked out for them is not kept without end.
constexpr std::size_t kMaximumKnown = 4096;

} // namespace

KeeperPlan::KeeperPlan(const PeerInfo& aSelf, bool aStands, const PeerView& aView)
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

bool
KeeperPlan::HasSameDaemons(const KeeperPlan& aOther) const
{
  // Views are ordered by key, and this daemon stands first
  return std::equal(this->daemons.begin(), this->daemons.end(), aOther.daemons.begin(),
                    aOther.daemons.end(), [](const Standing& aLeft, const Standing& aRight) {
                      return aLeft.address.key == aRight.address.key;
                    });
}

const Keepers&
KeeperPlan::KeepersOf(std::uint64_t aKey)
{
  const auto found = this->known.find(aKey);
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
      const std::uint64_t weight = RendezvousWeight(aKey, each.address.key);
      const bool isBetter = elsewhere == isElsewhere ? weight > most : elsewhere;
      if (best == nullptr || isBetter) {
        best = &each;
        most = weight;
        isElsewhere = elsewhere;
      }
    }
    return best;
  };
  Keepers keepers;
  if (const Standing* primary = heaviest(nullptr)) {
    keepers.primary = primary->address;
    if (const Standing* backup = heaviest(primary)) {
      keepers.backup = backup->address;
    }
  }
  if (this->known.size() >= kMaximumKnown) {
    this->known.clear();
  }
  return this->known.emplace(aKey, std::move(keepers)).first->second;
}

} // namespace lagoonward
