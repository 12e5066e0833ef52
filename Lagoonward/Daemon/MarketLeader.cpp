#include "Lagoonward/Daemon/MarketLeader.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

using Kind = PlacementOrder::Kind;

const Log kLog("placement");

OrderKind
ToOrderKind(Kind aKind)
{
  switch (aKind) {
    case Kind::Load:
      return OrderKind::Load;
    case Kind::Unload:
      return OrderKind::Unload;
    case Kind::StartHost:
      return OrderKind::StartHost;
    case Kind::StopHost:
      return OrderKind::StopHost;
  }
  return OrderKind::StopHost;
}

/// Describes the object of an order, for the log.
std::string
Describe(const PlacementOrder& aOrder)
{
  if (aOrder.kind == Kind::StartHost) {
    return fmt::format("{} of {} in {}", aOrder.host.machineClass,
                       aOrder.host.reclaimable ? "the reclaimable kind" : "the on-demand kind",
                       aOrder.host.failureDomain);
  }
  if (aOrder.kind == Kind::StopHost) {
    return aOrder.endpoint;
  }
  const std::string adapter =
    aOrder.adapter.empty() ? "" : ":" + aOrder.adapter + "@" + aOrder.adapterVersion;
  return fmt::format("{}@{}{} on {}", aOrder.model, aOrder.version, adapter, aOrder.endpoint);
}

} // namespace

MarketLeader::MarketLeader(const FleetManagerSettings& aSettings, std::string aMarket,
                           std::string aRegion, LeaseFollower& aLease, OrderTargets aTargets,
                           const Clock& aClock)
  : settings(aSettings)
  , market(std::move(aMarket))
  , region(std::move(aRegion))
  , lease(aLease)
  , targets(aTargets)
  , clock(aClock)
{
}

void
MarketLeader::Step(const MarketState& aState)
{
  const Manifest& manifest = aState.configuration->manifest;
  this->fleetKnownSince = this->fleetKnownSince.value_or(this->clock.Now());
  if (manifest.region != this->region || !this->UpdateTenure(manifest.ordersFenced)) {
    this->placement.reset();
    return;
  }
  PlacementView view{ manifest, aState.configuration->offset, *aState.fleet, {}, {} };
  for (const ConfigurationPtr& other : aState.others) {
    view.otherManifests.push_back(&other->manifest);
  }
  this->confirmedWeights.clear();
  this->loadsDelayed = false;
  const auto orders = this->placement->Reconcile(view, this->clock.Now(), this->clock.WallNow());
  for (const PlacementOrder& order : orders) {
    this->Execute(order, aState);
  }
}

/// Returns whether this daemon leads. A new tenure starts with empty state.
bool
MarketLeader::UpdateTenure(bool aFenced)
{
  const auto grant = this->lease.Authorize(OrderKind::Load, aFenced);
  if (!grant) {
    return false;
  }
  if (!this->placement || this->tenure != grant.value().fencing) {
    this->tenure = grant.value().fencing;
    this->unansweredOrders.clear();
    // A daemon that has known the fleet for a while needs less time until its snapshot is complete
    const TimePoint earliest =
      this->clock.Now() + this->settings.takeoverDelay - this->settings.placement.settleTime;
    this->placement.emplace(this->settings.placement, this->market, this->region,
                            std::max(*this->fleetKnownSince, earliest));
  }
  return true;
}

void
MarketLeader::Execute(const PlacementOrder& aOrder, const MarketState& aState)
{
  switch (aOrder.kind) {
    case Kind::Load:
    case Kind::Unload:
      this->SendToEngine(aOrder, aState);
      break;
    case Kind::StartHost:
      this->StartHost(aOrder);
      break;
    case Kind::StopHost:
      this->StopHost(aOrder);
      break;
  }
}

std::optional<OrderGrant>
MarketLeader::Authorize(const PlacementOrder& aOrder, bool aFenced) const
{
  const auto grant = this->lease.Authorize(ToOrderKind(aOrder.kind), aFenced);
  if (!grant || grant.value().fencing != this->tenure ||
      this->clock.BootNow() >= grant.value().sendBy) {
    return std::nullopt;
  }
  return grant.value();
}

void
MarketLeader::SendToEngine(const PlacementOrder& aOrder, const MarketState& aState)
{
  const Endpoint* endpoint = aState.fleet->Find(aOrder.endpoint);
  const bool isReady =
    endpoint != nullptr && (aOrder.kind != Kind::Load || this->ConfirmWeights(aOrder));
  const auto grant =
    isReady ? this->Authorize(aOrder, aState.configuration->manifest.ordersFenced) : std::nullopt;
  if (!grant) {
    this->placement->OrderWithdrawn(aOrder);
    return;
  }
  this->HandleEngineResponse(aOrder, *grant,
                             this->targets.engines.Send(*endpoint, aOrder, grant->fencing));
}

void
MarketLeader::HandleEngineResponse(const PlacementOrder& aOrder, const OrderGrant& aGrant,
                                   const Result<void>& aResponse)
{
  if (aResponse) {
    this->unansweredOrders.erase(aOrder.endpoint);
    this->LogDecision(aOrder, aGrant.fencing, "accepted");
    return;
  }
  this->LogDecision(aOrder, aGrant.fencing, aResponse.error().message);
  if (aResponse.error().kind == ErrorKind::StaleFencing) {
    this->placement->OrderWithdrawn(aOrder);
    this->lease.Abandon(aGrant.fencing);
    return;
  }
  const bool isUnknown = aResponse.error().kind == ErrorKind::PlatformUnavailable;
  if (isUnknown &&
      ++this->unansweredOrders[aOrder.endpoint] < this->settings.maximumUnansweredOrders) {
    this->placement->OrderWithdrawn(aOrder);
    return;
  }
  this->unansweredOrders.erase(aOrder.endpoint);
  this->placement->OrderRefused(aOrder, this->clock.Now());
}

/// Checks the weights with the weight store, once per model version and round, so that the checks take little of the
/// store's request rate away from the engines.
bool
MarketLeader::ConfirmWeights(const PlacementOrder& aOrder)
{
  const std::string modelVersion = aOrder.model + "@" + aOrder.version;
  if (this->loadsDelayed || this->confirmedWeights.contains(modelVersion)) {
    return !this->loadsDelayed;
  }
  const auto response = this->targets.weights.Check(aOrder.model, aOrder.version);
  if (response) {
    this->confirmedWeights.insert(modelVersion);
    return true;
  }
  const Milliseconds delay = response.error().kind == ErrorKind::UnknownModel
                               ? this->settings.unknownWeightsDelay
                               : response.error().retryAfter.value_or(this->settings.roundInterval);
  kLog.Warning(
    "Market {}: delays loads by {} ms, as the weight store did not confirm the weights of {}: {}.",
    this->market, delay.count(), modelVersion, response.error().message);
  this->loadsDelayed = true;
  this->placement->DelayLoads(this->clock.Now() + delay);
  return false;
}

void
MarketLeader::StartHost(const PlacementOrder& aOrder)
{
  const auto grant = this->Authorize(aOrder, false);
  if (!grant) {
    return;
  }
  const auto host = this->targets.cloud.StartHost(aOrder.host);
  if (host) {
    this->placement->HostStarted(aOrder.id, host.value(), this->clock.Now());
    this->LogDecision(aOrder, grant->fencing, "started as " + host.value());
    return;
  }
  this->LogDecision(aOrder, grant->fencing, host.error().message);
  if (host.error().kind == ErrorKind::Overloaded) {
    this->placement->HostRefused(aOrder.id, this->clock.Now());
  }
}

void
MarketLeader::StopHost(const PlacementOrder& aOrder)
{
  const auto grant = this->Authorize(aOrder, false);
  if (!grant) {
    return;
  }
  const auto stopped = this->targets.cloud.StopHost(aOrder.endpoint);
  this->LogDecision(aOrder, grant->fencing, stopped ? "accepted" : stopped.error().message);
}

void
MarketLeader::LogDecision(const PlacementOrder& aOrder, Offset aFencing,
                          std::string_view aOutcome) const
{
  kLog.Info("Market {}: order {} {}, fencing number {}, reason: {}, outcome: {}.", this->market,
            ToString(aOrder.kind), Describe(aOrder), aFencing, aOrder.reason, aOutcome);
}

} // namespace lagoonward
