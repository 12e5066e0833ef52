#include "Lagoonward/Membership/ProbePlan.h"

#include <algorithm>

namespace lagoonward {

ProbePlan::ProbePlan(const Clock& aClock, PeerKey aSelf, const PeerTableSettings& aSettings)
  : clock(aClock)
  , self(aSelf)
  , settings(aSettings)
  , lastSearch(aClock.Now())
{
}

void
ProbePlan::ChooseTargets(PeerEntries& aEntries, const RegionGraph& aRegion)
{
  const TimePoint now = this->clock.Now();
  for (auto& [key, entry] : aEntries) {
    const bool wasProbed = entry.probed;
    entry.probed = entry.regional && entry.IsPresent() &&
                   aRegion.IsMonitorOf(key, this->settings.monitorsPerPeer);
    if (entry.probed && !wasProbed) {
      entry.lastHeard = now;
      entry.indirectSent = false;
      // Spreads the probes of all daemons over the interval
      const auto phase = CombineHashes(key, this->self) %
                         static_cast<std::uint64_t>(this->settings.probeInterval.count());
      entry.lastProbe = now - Milliseconds(phase);
    }
  }
  this->MarkRemoteTargets(aEntries);
}

void
ProbePlan::RotateRemoteTargets(PeerEntries& aEntries)
{
  const TimePoint now = this->clock.Now();
  const auto patience = 3 * this->settings.remoteProbeInterval;
  const bool isSilent = std::any_of(aEntries.begin(), aEntries.end(), [&](const auto& aItem) {
    const PeerEntry& entry = aItem.second;
    return entry.probed && !entry.regional && now - entry.lastHeard > patience;
  });
  if (isSilent) {
    ++this->remoteRound;
    this->MarkRemoteTargets(aEntries);
  }
}

std::vector<ProbeOrder>
ProbePlan::Due(PeerEntries& aEntries, const RegionGraph& aRegion, bool aIsolated)
{
  std::vector<ProbeOrder> orders;
  for (auto& [key, entry] : aEntries) {
    if (entry.probed) {
      this->AddProbes(entry, aEntries, aRegion, orders);
    }
  }
  this->AddSearchProbes(aEntries, aIsolated, orders);
  return orders;
}

void
ProbePlan::MarkRemoteTargets(PeerEntries& aEntries)
{
  const auto weightOf = [&](const PeerEntry* aEntry) {
    return RendezvousWeight(this->self + this->remoteRound, aEntry->peer.key);
  };
  std::map<std::string_view, std::vector<PeerEntry*>> regions;
  for (auto& [key, entry] : aEntries) {
    if (!entry.regional && entry.IsPresent()) {
      regions[entry.peer.info.region].push_back(&entry);
    }
  }
  for (auto& [region, candidates] : regions) {
    std::sort(candidates.begin(), candidates.end(),
              [&](const PeerEntry* aLeft, const PeerEntry* aRight) {
                return weightOf(aLeft) > weightOf(aRight);
              });
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      const bool isChosen = index < this->settings.remotePeersPerRegion;
      if (isChosen) {
        candidates[index]->lastHeard = this->clock.Now();
      }
      candidates[index]->probed = isChosen;
    }
  }
}

void
ProbePlan::AddProbes(PeerEntry& aEntry, const PeerEntries& aEntries, const RegionGraph& aRegion,
                     std::vector<ProbeOrder>& aOrders)
{
  const TimePoint now = this->clock.Now();
  const auto interval =
    aEntry.regional ? this->settings.probeInterval : this->settings.remoteProbeInterval;
  const bool isUnanswered = aEntry.lastHeard < aEntry.lastProbe;
  if (isUnanswered && !aEntry.indirectSent && aEntry.regional &&
      now - aEntry.lastProbe >= this->settings.ackTimeout) {
    this->AddIndirectProbes(aEntry, aEntries, aRegion, aOrders);
  }
  if (now - aEntry.lastProbe >= interval) {
    aEntry.lastProbe = now;
    aOrders.push_back(this->MakePing(aEntry.peer.key));
  }
}

void
ProbePlan::AddIndirectProbes(PeerEntry& aEntry, const PeerEntries& aEntries,
                             const RegionGraph& aRegion, std::vector<ProbeOrder>& aOrders)
{
  aEntry.indirectSent = true;
  const auto& keys = aRegion.Keys();
  const PeerKey subject = aEntry.peer.key;
  std::size_t asked = 0;
  for (std::size_t step = 0; step < keys.size() && asked < this->settings.indirectProbes; ++step) {
    const PeerKey helper = keys[(subject + step) % keys.size()];
    const auto entry = aEntries.find(helper);
    const bool canHelp =
      helper != subject && entry != aEntries.end() && entry->second.peer.state == PeerState::Alive;
    if (canHelp) {
      aOrders.push_back({ helper, DatagramKind::IndirectPing, this->nextNonce++, subject });
      ++asked;
    }
  }
}

void
ProbePlan::AddSearchProbes(const PeerEntries& aEntries, bool aIsolated,
                           std::vector<ProbeOrder>& aOrders)
{
  const TimePoint now = this->clock.Now();
  const auto interval = aIsolated ? this->settings.probeInterval : this->settings.deadProbeInterval;
  if (aEntries.empty() || now - this->lastSearch < interval) {
    return;
  }
  this->lastSearch = now;
  // Cut off: anyone may be the first to answer. Otherwise: a removed daemon that is still listed may
  // be behind a partition that has healed.
  std::size_t found = 0;
  for (std::size_t step = 0; step < aEntries.size(); ++step) {
    this->searchPosition = (this->searchPosition + 1) % aEntries.size();
    const auto item =
      std::next(aEntries.begin(), static_cast<std::ptrdiff_t>(this->searchPosition));
    const PeerEntry& entry = item->second;
    const bool isRemoved = !entry.IsPresent() && entry.listed;
    if (aIsolated ? !entry.probed : isRemoved) {
      aOrders.push_back(this->MakePing(item->first));
      if (++found >= this->settings.monitorsPerPeer) {
        return;
      }
    }
  }
}

ProbeOrder
ProbePlan::MakePing(PeerKey aTo)
{
  return { aTo, DatagramKind::Ping, this->nextNonce++, 0 };
}

} // namespace lagoonward
