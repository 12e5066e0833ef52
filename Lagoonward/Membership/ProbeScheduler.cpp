#include "Lagoonward/Membership/ProbeScheduler.h"

#include <algorithm>

namespace lagoonward {

ProbeScheduler::ProbeScheduler(const Clock& aClock, PeerKey aSelf,
                               const PeerTableSettings& aSettings)
  : clock(aClock)
  , self(aSelf)
  , settings(aSettings)
  , lastDiscovery(aClock.Now())
{
}

void
ProbeScheduler::ChooseTargets(PeerEntries& aEntries, const RegionGraph& aRegion)
{
  const TimePoint now = this->clock.Now();
  for (auto& [key, entry] : aEntries) {
    const bool wasProbed = entry.probed;
    entry.probed = entry.regional && entry.IsPresent() &&
                   aRegion.IsMonitorOf(key, this->settings.monitorsPerPeer);
    if (entry.probed && !wasProbed) {
      entry.lastContact = now;
      entry.indirectSent = false;
      // Distributes the probes of all daemons over the interval
      const auto phase = CombineHashes(key, this->self) %
                         static_cast<std::uint64_t>(this->settings.probeInterval.count());
      entry.lastProbe = now - Milliseconds(phase);
    }
  }
  this->MarkRemoteTargets(aEntries);
}

void
ProbeScheduler::RotateRemoteTargets(PeerEntries& aEntries)
{
  const TimePoint now = this->clock.Now();
  const auto silenceTimeout = 3 * this->settings.remoteProbeInterval;
  const bool hasUnresponsiveTarget =
    std::any_of(aEntries.begin(), aEntries.end(), [&](const auto& aItem) {
      const PeerEntry& entry = aItem.second;
      return entry.probed && !entry.regional && now - entry.lastContact > silenceTimeout;
    });
  if (hasUnresponsiveTarget) {
    ++this->remoteRotation;
    this->MarkRemoteTargets(aEntries);
  }
}

std::vector<ScheduledProbe>
ProbeScheduler::DueProbes(PeerEntries& aEntries, const RegionGraph& aRegion, bool aIsolated)
{
  std::vector<ScheduledProbe> orders;
  for (auto& [key, entry] : aEntries) {
    if (entry.probed) {
      this->AddProbes(entry, aEntries, aRegion, orders);
    }
  }
  this->AddDiscoveryProbes(aEntries, aIsolated, orders);
  return orders;
}

void
ProbeScheduler::MarkRemoteTargets(PeerEntries& aEntries)
{
  const auto weightOf = [&](const PeerEntry* aEntry) {
    return RendezvousWeight(this->self + this->remoteRotation, aEntry->peer.key);
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
        candidates[index]->lastContact = this->clock.Now();
      }
      candidates[index]->probed = isChosen;
    }
  }
}

void
ProbeScheduler::AddProbes(PeerEntry& aEntry, const PeerEntries& aEntries,
                          const RegionGraph& aRegion, std::vector<ScheduledProbe>& aOrders)
{
  const TimePoint now = this->clock.Now();
  const auto interval =
    aEntry.regional ? this->settings.probeInterval : this->settings.remoteProbeInterval;
  const bool isUnanswered = aEntry.lastContact < aEntry.lastProbe;
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
ProbeScheduler::AddIndirectProbes(PeerEntry& aEntry, const PeerEntries& aEntries,
                                  const RegionGraph& aRegion, std::vector<ScheduledProbe>& aOrders)
{
  aEntry.indirectSent = true;
  const auto& keys = aRegion.Keys();
  const PeerKey subject = aEntry.peer.key;
  std::size_t requested = 0;
  for (std::size_t step = 0; step < keys.size() && requested < this->settings.indirectProbes;
       ++step) {
    const PeerKey proxy = keys[(subject + step) % keys.size()];
    const auto entry = aEntries.find(proxy);
    const bool isEligible =
      proxy != subject && entry != aEntries.end() && entry->second.peer.state == PeerState::Alive;
    if (isEligible) {
      aOrders.push_back({ proxy, DatagramKind::IndirectPing, this->nextNonce++, subject });
      ++requested;
    }
  }
}

void
ProbeScheduler::AddDiscoveryProbes(const PeerEntries& aEntries, bool aIsolated,
                                   std::vector<ScheduledProbe>& aOrders)
{
  const TimePoint now = this->clock.Now();
  const auto interval = aIsolated ? this->settings.probeInterval : this->settings.deadProbeInterval;
  if (aEntries.empty() || now - this->lastDiscovery < interval) {
    return;
  }
  this->lastDiscovery = now;
  // If isolated, probe any daemon that is not probed already. Otherwise probe daemons that were removed but
  // are still listed: the cause may have been a partition that has healed.
  std::size_t found = 0;
  for (std::size_t step = 0; step < aEntries.size(); ++step) {
    this->discoveryPosition = (this->discoveryPosition + 1) % aEntries.size();
    const auto item =
      std::next(aEntries.begin(), static_cast<std::ptrdiff_t>(this->discoveryPosition));
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

ScheduledProbe
ProbeScheduler::MakePing(PeerKey aTo)
{
  return { aTo, DatagramKind::Ping, this->nextNonce++, 0 };
}

} // namespace lagoonward
