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
DemandView::OnOwnDemandSent(std::span<const ClientDemand> aDemand)
{
  this->previousSent = std::move(this->lastSent);
  this->lastSent.assign(aDemand.begin(), aDemand.end());

  this->RemoveStalePeers();
}

void
DemandView::RemoveStalePeers() const
{
  if (this->peers.empty() ||
      this->clock.Now() - this->oldestReceivedAt <= this->settings.peerTimeout) {
    return;
  }
  this->oldestReceivedAt = TimePoint::max();
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    if (this->IsLive(peer->second)) {
      this->oldestReceivedAt = std::min(this->oldestReceivedAt, peer->second.receivedAt);
      ++peer;
      continue;
    }
    this->AddToSums(peer->second, -1);
    peer = this->peers.erase(peer);
  }
  if (this->peers.empty()) {
    // Clears accumulated rounding errors
    this->sums.clear();
  }
}

void
DemandView::OnPeerDemand(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand, int aDaemons)
{
  const auto [known, isNew] = this->peers.try_emplace(aDaemon);
  Peer& peer = known->second;
  if (!isNew) {
    this->AddToSums(peer, -1);
  }
  peer.receivedAt = this->clock.Now();
  this->oldestReceivedAt = std::min(this->oldestReceivedAt, peer.receivedAt);
  peer.demand.assign(aDemand.begin(), aDemand.end());
  peer.daemons = aDaemons;
  this->AddToSums(peer, 1);
}

void
DemandView::AddToSums(const Peer& aPeer, int aSign) const
{
  this->peerDaemons += aSign * aPeer.daemons;
  for (const ClientDemand& demand : aPeer.demand) {
    PeerSum& sum = this->sums[demand.client];
    sum.tokensPerSecond = std::max(sum.tokensPerSecond + aSign * demand.tokensPerSecond, 0.0);
    sum.running += aSign * demand.running;
  }
}

ClientShare
DemandView::ShareOf(std::uint64_t aClient) const
{
  this->RemoveStalePeers();
  const double own = Find(this->previousSent, aClient).tokensPerSecond;
  const auto found = this->sums.find(aClient);
  const PeerSum others = found == this->sums.end() ? PeerSum{} : found->second;
  const double total = own + others.tokensPerSecond;
  const double evenFraction = 1.0 / this->LiveDaemons();
  ClientShare result;
  result.runningAtPeers = others.running;
  result.rateShare = total > 0 ? this->settings.evenShare * evenFraction +
                                   (1 - this->settings.evenShare) * own / total
                               : evenFraction;
  return result;
}

int
DemandView::LiveDaemons() const
{
  this->RemoveStalePeers();
  return this->peerDaemons + 1;
}

bool
DemandView::IsLive(const Peer& aPeer) const
{
  return this->clock.Now() - aPeer.receivedAt <= this->settings.peerTimeout;
}

} // namespace lagoonward
