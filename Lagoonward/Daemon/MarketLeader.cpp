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

/// What an order is about, for the log.
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
                           std::string aRegion, LeaseFollower& aLease, OrderOutlets aOutlets,
                           const Clock& aClock)
  : settings(aSettings)
  , market(std::move(aMarket))
  , region(std::move(aRegion))
  , lease(aLease)
  , outlets(aOutlets)
  , clock(aClock)
{
}

void
MarketLeader::Step(const MarketScene& aScene)
{
  const Manifest& manifest = aScene.configuration->manifest;
  this->knownSince = this->knownSince.value_or(this->clock.Now());
  if (manifest.region != this->region || !this->TakeLead(manifest.ordersFenced)) {
    this->placement.reset();
    return;
  }
  PlacementView view{ manifest, aScene.configuration->offset, *aScene.fleet, {}, {} };
  for (const ConfigurationPtr& other : aScene.others) {
    view.others.push_back(&other->manifest);
  }
  this->weightsReady.clear();
  this->weightsWait = false;
  const auto orders = this->placement->Reconcile(view, this->clock.Now(), this->clock.WallNow());
  for (const PlacementOrder& order : orders) {
    this->CarryOut(order, aScene);
  }
}

/// Whether this daemon leads. A new tenure begins without what an older one remembered.
bool
MarketLeader::TakeLead(bool aFenced)
{
  const auto grant = this->lease.Authorize(OrderKind::Load, aFenced);
  if (!grant) {
    return false;
  }
  if (!this->placement || this->tenure != grant.value().fencing) {
    this->tenure = grant.value().fencing;
    this->unanswered.clear();
    // Reports that have come in for long need less time to catch up
    const TimePoint shortest =
      this->clock.Now() + this->settings.takeoverPause - this->settings.placement.settle;
    this->placement.emplace(this->settings.placement, this->market, this->region,
                            std::max(*this->knownSince, shortest));
  }
  return true;
}

void
MarketLeader::CarryOut(const PlacementOrder& aOrder, const MarketScene& aScene)
{
  switch (aOrder.kind) {
    case Kind::Load:
    case Kind::Unload:
      this->CarryToEngine(aOrder, aScene);
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
MarketLeader::Ask(const PlacementOrder& aOrder, bool aFenced) const
{
  const auto grant = this->lease.Authorize(ToOrderKind(aOrder.kind), aFenced);
  if (!grant || grant.value().fencing != this->tenure ||
      this->clock.BootNow() >= grant.value().sendBy) {
    return std::nullopt;
  }
  return grant.value();
}

void
MarketLeader::CarryToEngine(const PlacementOrder& aOrder, const MarketScene& aScene)
{
  const Endpoint* endpoint = aScene.fleet->Find(aOrder.endpoint);
  const bool ready = endpoint != nullptr && (aOrder.kind != Kind::Load || this->HasWeights(aOrder));
  const auto grant =
    ready ? this->Ask(aOrder, aScene.configuration->manifest.ordersFenced) : std::nullopt;
  if (!grant) {
    this->placement->OrderWithdrawn(aOrder);
    return;
  }
  this->TakeEngineAnswer(aOrder, *grant,
                         this->outlets.engines.Send(*endpoint, aOrder, grant->fencing));
}

void
MarketLeader::TakeEngineAnswer(const PlacementOrder& aOrder, const OrderGrant& aGrant,
                               const Result<void>& aAnswer)
{
  if (aAnswer) {
    this->unanswered.erase(aOrder.endpoint);
    this->LogDecision(aOrder, aGrant.fencing, "accepted");
    return;
  }
  this->LogDecision(aOrder, aGrant.fencing, aAnswer.error().message);
  if (aAnswer.error().kind == ErrorKind::StaleFencing) {
    this->placement->OrderWithdrawn(aOrder);
    this->lease.Abandon(aGrant.fencing);
    return;
  }
  const bool unclear = aAnswer.error().kind == ErrorKind::PlatformUnavailable;
  if (unclear && ++this->unanswered[aOrder.endpoint] < this->settings.unansweredOrders) {
    this->placement->OrderWithdrawn(aOrder);
    return;
  }
  this->unanswered.erase(aOrder.endpoint);
  this->placement->OrderRefused(aOrder, this->clock.Now());
}

/// Asks the weight store once for each model version and round, so that asking takes little of its
/// rate away from the engines.
bool
MarketLeader::HasWeights(const PlacementOrder& aOrder)
{
  const std::string key = aOrder.model + "@" + aOrder.version;
  if (this->weightsWait || this->weightsReady.contains(key)) {
    return !this->weightsWait;
  }
  const auto answer = this->outlets.weights.Check(aOrder.model, aOrder.version);
  if (answer) {
    this->weightsReady.insert(key);
    return true;
  }
  const Milliseconds delay = answer.error().kind == ErrorKind::UnknownModel
                               ? this->settings.unknownWeightsPause
                               : answer.error().retryAfter.value_or(this->settings.roundInterval);
  kLog.Warning("Market {}: loads wait {} ms for the weights of {}: {}.", this->market,
               delay.count(), key, answer.error().message);
  this->weightsWait = true;
  this->placement->DelayLoads(this->clock.Now() + delay);
  return false;
}

void
MarketLeader::StartHost(const PlacementOrder& aOrder)
{
  const auto grant = this->Ask(aOrder, false);
  if (!grant) {
    return;
  }
  const auto host = this->outlets.cloud.StartHost(aOrder.host);
  if (host) {
    this->placement->HostStarted(aOrder.id, host.value(), this->clock.Now());
    this->LogDecision(aOrder, grant->fencing, "it is " + host.value());
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
  const auto grant = this->Ask(aOrder, false);
  if (!grant) {
    return;
  }
  const auto stopped = this->outlets.cloud.StopHost(aOrder.endpoint);
  this->LogDecision(aOrder, grant->fencing, stopped ? "accepted" : stopped.error().message);
}

void
MarketLeader::LogDecision(const PlacementOrder& aOrder, Offset aFencing,
                          std::string_view aOutcome) const
{
  kLog.Info("Market {}: {} {}, fencing number {}, as {}: {}.", this->market, ToString(aOrder.kind),
            Describe(aOrder), aFencing, aOrder.reason, aOutcome);
}

} // namespace lagoonward
