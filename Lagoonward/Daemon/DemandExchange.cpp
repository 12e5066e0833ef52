#include "Lagoonward/Daemon/DemandExchange.h"

#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

/// Type of the message; see PeerRequest.
constexpr auto kDemand = ToRequestType(PeerRequest::Demand);

struct ClientEntry
{
  std::uint64_t client = 0;
  double tokensPerSecond = 0;
  std::int32_t running = 0;
  double admittedTotal = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->client, this->tokensPerSecond, this->running, this->admittedTotal);
  }
};

struct MarketEntry
{
  std::string market;
  std::vector<ClientEntry> clients;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->market, this->clients);
  }
};

struct DemandMessage
{
  std::vector<MarketEntry> markets;
  std::vector<PoisonVerdict> poison;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->markets, this->poison);
  }
};

/// Whether all values are finite and not negative.
bool
IsPlausible(const ClientEntry& aEntry)
{
  return std::isfinite(aEntry.tokensPerSecond) && aEntry.tokensPerSecond >= 0 &&
         aEntry.running >= 0 && std::isfinite(aEntry.admittedTotal) && aEntry.admittedTotal >= 0;
}

} // namespace

DemandExchange::DemandExchange(const DemandExchangeSettings& aSettings,
                               MembershipService& aMembership, MarketDirectory& aMarkets,
                               PoisonRequestFilter& aPoison, const std::string& aOwnId,
                               std::string aRegion)
  : settings(aSettings)
  , membership(aMembership)
  , markets(aMarkets)
  , poison(aPoison)
  , ownKey(ToPeerKey(aOwnId))
  , region(std::move(aRegion))
{
  this->membership.Transport().OnRequest(kDemand, [this](PeerKey aSender, std::string_view aBytes,
                                                         const PeerTransport::Responder& aRespond) {
    this->HandleMessage(aSender, aBytes);
    aRespond(std::string());
  });
}

void
DemandExchange::Start()
{
  this->membership.Loop().Every(this->settings.interval, [this] { this->SendAll(); });
}

void
DemandExchange::SendAll()
{
  DemandMessage message;
  message.poison = this->poison.Verdicts();
  for (const MarketPtr& market : this->markets.ConfiguredMarkets()) {
    MarketEntry entry;
    entry.market = market->Name();
    for (const ClientDemand& demand : market->admission.CollectDemand()) {
      entry.clients.push_back(
        { demand.client, demand.tokensPerSecond, demand.running, demand.admittedTotal });
    }
    message.markets.push_back(std::move(entry));
  }
  const std::string bytes = EncodePeerMessage(message);
  for (const PeerAddress& peer : this->NextPeers()) {
    this->membership.Transport().Request(peer, kDemand, bytes, this->settings.timeout,
                                         [](const Result<std::string>&) {});
  }
}

void
DemandExchange::HandleMessage(PeerKey aSender, std::string_view aBytes)
{
  const auto message = DecodePeerMessage<DemandMessage>(aBytes);
  if (!message || aSender == this->ownKey) {
    return;
  }
  this->poison.OnVerdicts(message->poison);
  for (const MarketEntry& entry : message->markets) {
    const MarketPtr market = this->markets.Find(entry.market);
    if (market == nullptr) {
      continue;
    }
    std::vector<ClientDemand> demand;
    for (const ClientEntry& client : entry.clients) {
      if (IsPlausible(client)) {
        demand.push_back(
          { client.client, client.tokensPerSecond, client.running, client.admittedTotal });
      }
    }
    market->admission.OnPeerDemand(aSender, demand);
  }
}

std::vector<PeerAddress>
DemandExchange::NextPeers()
{
  std::vector<PeerAddress> regionPeers;
  const PeerViewPtr view = this->membership.Peers();
  for (const Peer& peer : view->peers) {
    if (peer.info.region == this->region && peer.state != PeerState::Suspect) {
      regionPeers.push_back({ peer.key, peer.info.address, peer.info.port });
    }
  }
  if (regionPeers.size() <= this->settings.peersPerInterval) {
    return regionPeers;
  }
  std::rotate(regionPeers.begin(),
              regionPeers.begin() +
                static_cast<std::ptrdiff_t>(this->nextPeer % regionPeers.size()),
              regionPeers.end());
  this->nextPeer += this->settings.peersPerInterval;
  regionPeers.resize(this->settings.peersPerInterval);
  return regionPeers;
}

} // namespace lagoonward
