#include "Lagoonward/Membership/KeyOwnerPlan.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Bounds the cache, because keys also come from callers.
constexpr std::size_t kMaximumCachedKeys = 4096;

} // namespace

KeyOwnerPlan::KeyOwnerPlan(const PeerInfo& aSelf, bool aEligible, const PeerView& aView)
{
  const auto add = [this](const PeerInfo& aInfo, PeerKey aKey) {
    this->daemons.push_back(
      { { aKey, aInfo.address, aInfo.port }, HashBytes(aInfo.failureDomain) });
  };
  if (aEligible) {
    add(aSelf, aSelf.Key());
  }
  for (const Peer& peer : aView.peers) {
    // A suspected peer may be alive. A peer known only by its address, such as a seed, is not eligible.
    const bool mayBeAlive = peer.state == PeerState::Alive || peer.state == PeerState::Suspect;
    if (mayBeAlive && !peer.info.failureDomain.empty() && peer.info.region == aSelf.region) {
      add(peer.info, peer.key);
    }
  }
}

bool
KeyOwnerPlan::HasSameDaemons(const KeyOwnerPlan& aOther) const
{
  // Views are ordered by key, and this daemon is the first entry
  return std::equal(this->daemons.begin(), this->daemons.end(), aOther.daemons.begin(),
                    aOther.daemons.end(), [](const Candidate& aLeft, const Candidate& aRight) {
                      return aLeft.address.key == aRight.address.key;
                    });
}

const KeyOwners&
KeyOwnerPlan::OwnersOf(std::uint64_t aKey)
{
  const auto found = this->cache.find(aKey);
  if (found != this->cache.end()) {
    return found->second;
  }
  const auto findHeaviest = [&](const Candidate* aPrimary) {
    const Candidate* best = nullptr;
    std::uint64_t bestWeight = 0;
    bool isBestInOtherDomain = false;
    for (const Candidate& each : this->daemons) {
      if (&each == aPrimary) {
        continue;
      }
      const bool isInOtherDomain = aPrimary != nullptr && each.domain != aPrimary->domain;
      const std::uint64_t weight = RendezvousWeight(aKey, each.address.key);
      const bool isBetter =
        isInOtherDomain == isBestInOtherDomain ? weight > bestWeight : isInOtherDomain;
      if (best == nullptr || isBetter) {
        best = &each;
        bestWeight = weight;
        isBestInOtherDomain = isInOtherDomain;
      }
    }
    return best;
  };
  KeyOwners owners;
  if (const Candidate* primary = findHeaviest(nullptr)) {
    owners.primary = primary->address;
    if (const Candidate* backup = findHeaviest(primary)) {
      owners.backup = backup->address;
    }
  }
  if (this->cache.size() >= kMaximumCachedKeys) {
    this->cache.clear();
  }
  return this->cache.emplace(aKey, std::move(owners)).first->second;
}

} // namespace lagoonward
