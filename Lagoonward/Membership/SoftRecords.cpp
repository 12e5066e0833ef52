#include "Lagoonward/Membership/SoftRecords.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Highest-ranked daemon of each failure domain of a region for a key, in order of rank.
std::vector<const Peer*>
HighestRankedOfEachDomain(std::uint64_t aKeyHash, std::string_view aRegion,
                          std::span<const Peer> aPeers)
{
  const auto weightOf = [&](const Peer* aPeer) { return RendezvousWeight(aKeyHash, aPeer->key); };
  std::map<std::string_view, const Peer*> best;
  for (const Peer& peer : aPeers) {
    if (peer.state != PeerState::Alive || peer.info.region != aRegion) {
      continue;
    }
    const Peer*& slot = best[peer.info.failureDomain];
    if (slot == nullptr || weightOf(&peer) > weightOf(slot)) {
      slot = &peer;
    }
  }
  std::vector<const Peer*> ordered;
  ordered.reserve(best.size());
  for (const auto& item : best) {
    ordered.push_back(item.second);
  }
  std::sort(ordered.begin(), ordered.end(), [&](const Peer* aLeft, const Peer* aRight) {
    return weightOf(aLeft) > weightOf(aRight);
  });
  return ordered;
}

} // namespace

SoftRecords::SoftRecords(const Clock& aClock, SoftRecordSettings aSettings)
  : clock(aClock)
  , settings(aSettings)
{
}

void
SoftRecords::Put(SoftRecord aRecord)
{
  const auto found = this->entries.find(aRecord.keyHash);
  if (found != this->entries.end()) {
    const SoftRecord& known = found->second.record;
    if (known.server == aRecord.server && known.revision > aRecord.revision) {
      return;
    }
    this->Erase(found);
  }
  if (this->entries.size() >= this->settings.maximumRecords && !this->byExpiry.empty()) {
    this->Erase(this->entries.find(this->byExpiry.begin()->second));
  }
  const auto lifetime = std::min(Milliseconds(aRecord.expiresIn), this->settings.lifetime);
  const TimePoint expiresAt = this->clock.Now() + lifetime;
  this->byExpiry.emplace(expiresAt, aRecord.keyHash);
  const std::uint64_t key = aRecord.keyHash;
  this->entries.emplace(key, Entry{ std::move(aRecord), expiresAt });
}

std::optional<SoftRecord>
SoftRecords::Find(std::uint64_t aKeyHash)
{
  this->Sweep();
  const auto found = this->entries.find(aKeyHash);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  SoftRecord record = found->second.record;
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(found->second.expiresAt - this->clock.Now());
  record.expiresIn = static_cast<std::uint32_t>(remaining.count());
  return record;
}

void
SoftRecords::Remove(std::uint64_t aKeyHash)
{
  const auto found = this->entries.find(aKeyHash);
  if (found != this->entries.end()) {
    this->Erase(found);
  }
}

void
SoftRecords::Sweep()
{
  const TimePoint now = this->clock.Now();
  while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= now) {
    this->Erase(this->entries.find(this->byExpiry.begin()->second));
  }
}

std::size_t
SoftRecords::Size() const
{
  return this->entries.size();
}

std::optional<PeerKey>
SoftRecords::HolderFor(std::uint64_t aKeyHash, const PeerInfo& aServer,
                       std::span<const Peer> aPeers)
{
  const auto candidates = HighestRankedOfEachDomain(aKeyHash, aServer.region, aPeers);
  const auto outside = std::find_if(candidates.begin(), candidates.end(), [&](const Peer* aPeer) {
    return aPeer->info.failureDomain != aServer.failureDomain;
  });
  if (outside != candidates.end()) {
    return (*outside)->key;
  }
  return candidates.empty() ? std::nullopt : std::optional(candidates.front()->key);
}

std::vector<PeerKey>
SoftRecords::PossibleHolders(std::uint64_t aKeyHash, std::string_view aRegion,
                             std::span<const Peer> aPeers, std::size_t aLimit)
{
  std::vector<PeerKey> keys;
  for (const Peer* peer : HighestRankedOfEachDomain(aKeyHash, aRegion, aPeers)) {
    if (keys.size() < aLimit) {
      keys.push_back(peer->key);
    }
  }
  return keys;
}

void
SoftRecords::Erase(Entries::iterator aEntry)
{
  const auto range = this->byExpiry.equal_range(aEntry->second.expiresAt);
  for (auto item = range.first; item != range.second; ++item) {
    if (item->second == aEntry->first) {
      this->byExpiry.erase(item);
      break;
    }
  }
  this->entries.erase(aEntry);
}

} // namespace lagoonward
