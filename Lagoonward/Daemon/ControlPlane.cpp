#include "Lagoonward/Daemon/ControlPlane.h"

#include "Lagoonward/Daemon/ConfigurationState.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("control");

/// Interval between two checks for markets that have no configuration.
constexpr Milliseconds kEmptyMarketCheckInterval{ 500 };

} // namespace

ControlPlane::ControlPlane(const Clock& aClock, MembershipService& aMembership, LoadPoller& aPoller,
                           MarketDirectory& aMarkets, FleetStore& aFleet,
                           std::function<void(const FleetSnapshotPtr& aSnapshot)> aOnFleet)
  : clock(aClock)
  , membership(aMembership)
  , poller(aPoller)
  , markets(aMarkets)
  , fleet(aFleet)
  , onFleet(std::move(aOnFleet))
{
  this->membership.OnEndpoints([this] { this->PublishFleet(); });
  this->membership.OnState([this](const SharedState& aState) { return this->ApplyState(aState); });
  this->membership.OnPeers([this](const PeerViewPtr& aView) {
    for (const MarketPtr& market : this->markets.ConfiguredMarkets()) {
      market->SetLiveDaemons(static_cast<int>(aView->peers.size()) + 1);
    }
  });
}

std::string_view
ControlPlane::Name() const
{
  return kName;
}

Result<void>
ControlPlane::Start()
{
  this->poller.Start();
  this->membership.Loop().Run([this] {
    this->membership.Loop().Every(kEmptyMarketCheckInterval, [this] { this->MarkEmptyMarkets(); });
  });
  return boost::outcome_v2::success();
}

void
ControlPlane::Stop()
{
  this->poller.Stop();
}

void
ControlPlane::SetFollower(ConfigurationFollower& aFollower)
{
  this->follower = &aFollower;
}

void
ControlPlane::OnHosts(std::vector<HostEntry> aHosts)
{
  this->membership.ApplyHostList(std::move(aHosts));
}

void
ControlPlane::OnPrices(std::vector<Price> aPrices)
{
  this->membership.Loop().Post([this, prices = std::move(aPrices)] {
    this->prices = prices;
    this->PublishFleet();
  });
}

void
ControlPlane::OnNotices(const std::vector<ReclaimNotice>& aNotices)
{
  this->membership.Loop().Post([this, aNotices] {
    for (const ReclaimNotice& notice : aNotices) {
      this->ApplyNotice(notice);
    }
  });
}

void
ControlPlane::OnConfiguration(const ConfigurationPtr& aConfiguration)
{
  // Published to peers at once, so that it comes into force on daemons that cannot read the log
  const Offset through =
    std::max(this->follower->Offer(aConfiguration->market).through, aConfiguration->offset + 1);
  this->membership.PublishState(EncodeConfigurationState(*aConfiguration, through));
  this->membership.Loop().Post([this, aConfiguration] {
    const MarketPtr market = this->markets.FindOrAdd(aConfiguration->market);
    market->ApplyConfiguration(aConfiguration);
    market->SetLiveDaemons(static_cast<int>(this->membership.Peers()->peers.size()) + 1);
    kLog.Info("Configuration {} of market {} is in force.", aConfiguration->offset, market->Name());
    this->PublishFleet();
  });
}

void
ControlPlane::FollowMarket(const std::string& aMarket)
{
  const auto followed = this->follower->Follow(aMarket);
  if (!followed) {
    kLog.Warning("Cannot follow market {}: {}", aMarket, followed.error().message);
    return;
  }
  this->markets.FindOrAdd(aMarket);
}

bool
ControlPlane::ApplyState(const SharedState& aState)
{
  if (!IsConfigurationState(aState)) {
    return false;
  }
  const std::string market = MarketOfState(aState);
  auto offer = DecodeConfigurationState(aState);
  if (!offer) {
    kLog.Warning("Malformed configuration of market {} from a peer; ignored.", market);
    return false;
  }
  this->FollowMarket(market);
  this->follower->Adopt(market, *offer);
  return true;
}

void
ControlPlane::ApplyNotice(const ReclaimNotice& aNotice)
{
  const auto timeLeft = aNotice.at + aNotice.grace - this->clock.WallNow();
  const auto grace = std::max(std::chrono::duration_cast<Milliseconds>(timeLeft), Milliseconds(0));
  std::vector<std::string> affected;
  for (const auto& [key, fact] : this->membership.Loads().Facts()) {
    const bool isAffected = aNotice.host.empty() ? fact.host.failureDomain == aNotice.failureDomain
                                                 : fact.host.id == aNotice.host;
    if (isAffected && fact.state != EndpointState::Leaving) {
      affected.push_back(fact.host.id);
    }
  }
  for (const std::string& id : affected) {
    kLog.Info("Reclaim notice: endpoint {} terminates in {} ms; marked as leaving.", id,
              grace.count());
    this->membership.ReportEndpoint(id, EndpointState::Leaving, grace);
  }
}

void
ControlPlane::MarkEmptyMarkets()
{
  for (const MarketStatus& status : this->follower->Status()) {
    if (status.logReachable && status.certain && status.offset == kNoOffset) {
      this->markets.FindOrAdd(status.market)->MarkUnconfigured();
    }
  }
}

void
ControlPlane::PublishFleet()
{
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->generation = ++this->generation;
  snapshot->prices = this->prices;
  for (const auto& [key, fact] : this->membership.Loads().Facts()) {
    snapshot->endpoints.push_back(this->ToEndpoint(fact));
  }
  // Sorted, as the hash map's order differs between daemons
  std::sort(snapshot->endpoints.begin(), snapshot->endpoints.end(),
            [](const Endpoint& aLeft, const Endpoint& aRight) { return aLeft.id < aRight.id; });
  this->fleet.Publish(snapshot);
  for (const MarketPtr& market : this->markets.ConfiguredMarkets()) {
    market->ApplyFleet(*snapshot);
  }
  this->onFleet(snapshot);
}

Endpoint
ControlPlane::ToEndpoint(const EndpointFact& aFact) const
{
  Endpoint endpoint;
  endpoint.id = aFact.host.id;
  endpoint.kind =
    aFact.host.kind == HostEntry::Kind::Service ? EndpointKind::Service : EndpointKind::Engine;
  endpoint.address = aFact.host.address;
  endpoint.port = aFact.host.port;
  endpoint.failureDomain = aFact.host.failureDomain;
  endpoint.region = aFact.host.region;
  endpoint.machineClass = aFact.host.machineClass;
  endpoint.name = aFact.host.name;
  endpoint.state = aFact.state;
  endpoint.availableUntil = aFact.availableUntil;
  endpoint.load = this->membership.Loads().LoadOf(aFact);
  this->SetPrice(endpoint);
  return endpoint;
}

void
ControlPlane::SetPrice(Endpoint& aEndpoint) const
{
  // The host list does not contain a host's purchase type, so the cheapest offer is assumed; that is the reclaimable
  // one
  for (const Price& price : this->prices) {
    const bool fits = price.machineClass == aEndpoint.machineClass &&
                      price.failureDomain == aEndpoint.failureDomain;
    if (fits && (aEndpoint.pricePerHour == 0 || price.perHour < aEndpoint.pricePerHour)) {
      aEndpoint.pricePerHour = price.perHour;
      aEndpoint.reclaimable = price.reclaimable;
    }
  }
}

} // namespace lagoonward
