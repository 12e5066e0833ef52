#include "Lagoonward/Admission/DemandView.h"

#include <algorithm>

namespace lagoonward {

namespace {

ClientDemand
Find(std::span<const ClientDemand> aDemand, std::uint64_t aClient)
{
  const auto found = std::find_if(aDemand.begin(), aDemand.end(), [&](const ClientDemand& aEach) {
    return aEach.client == aClient;
  });
  return found == aDemand.end() ? ClientDemand{ aClient, 0, 0 } : *found;
}

} // namespace

DemandView::DemandView(const AdmissionSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
DemandView::OnOwnSent(std::span<const ClientDemand> aDemand)
{
  this->sentBefore = std::move(this->sentLast);
  this->sentLast.assign(aDemand.begin(), aDemand.end());

  // Peers long silent are forgotten, so that restarted daemons leave no trace
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    peer = this->IsLive(peer->second) ? std::next(peer) : this->peers.erase(peer);
  }
}

void
DemandView::OnPeer(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand)
{
  Peer& peer = this->peers[aDaemon];
  peer.heard = this->clock.Now();
  peer.demand.assign(aDemand.begin(), aDemand.end());
}

ClientShare
DemandView::ShareOf(std::uint64_t aClient) const
{
  const double own = Find(this->sentBefore, aClient).tokensPerSecond;
  double total = own;
  int live = 1;
  ClientShare result;
  for (const auto& [daemon, peer] : this->peers) {
    if (this->IsLive(peer)) {
      const ClientDemand demand = Find(peer.demand, aClient);
      total += demand.tokensPerSecond;
      result.runningAtPeers += demand.running;
      ++live;
    }
  }
  const double equal = 1.0 / live;
  result.share = total > 0
                   ? this->settings.equalPart * equal + (1 - this->settings.equalPart) * own / total
                   : equal;
  return result;
}

int
DemandView::LiveDaemons() const
{
  const auto live = std::count_if(this->peers.begin(), this->peers.end(),
                                  [&](const auto& aPeer) { return this->IsLive(aPeer.second); });
  return static_cast<int>(live) + 1;
}

bool
DemandView::IsLive(const Peer& aPeer) const
{
  return this->clock.Now() - aPeer.heard <= this->settings.peerTimeout;
}

} // namespace lagoonward
