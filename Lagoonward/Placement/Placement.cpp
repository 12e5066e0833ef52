#include "Lagoonward/Placement/Placement.h"

#include "Lagoonward/Placement/LoadedModels.h"
#include "Lagoonward/Placement/PlacementRound.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Whether the endpoint's report shows that the order took effect.
bool
IsDone(const PlacementOrder& aOrder, const Endpoint& aEndpoint)
{
  const LoadedModel* model = FindLoaded(aEndpoint, aOrder.model, aOrder.version);
  bool holds = model != nullptr;
  if (holds && !aOrder.adapter.empty()) {
    holds = HasAdapter(*model, aOrder.adapter, aOrder.adapterVersion);
  }
  return holds == (aOrder.kind == PlacementOrder::Kind::Load);
}

} // namespace

Placement::Placement(const PlacementSettings& aSettings, std::string aMarket, std::string aRegion,
                     TimePoint aNow)
  : settings(aSettings)
  , market(std::move(aMarket))
  , region(std::move(aRegion))
  , activeFrom(aNow + aSettings.settleTime)
  , loadsAllowedFrom(aNow)
  , hostStarts(aSettings, this->market, this->region)
  , offerSelector(aSettings)
{
}

std::vector<PlacementOrder>
Placement::Reconcile(const PlacementView& aView, TimePoint aNow, WallTime aWallNow)
{
  this->offerSelector.Observe(aView.manifest, aView.fleet.prices, aNow);
  this->RemoveFinished(aView.fleet, aNow);
  if (this->attemptsConfiguration != aView.configurationOffset) {
    this->attemptsConfiguration = aView.configurationOffset;
    this->failedAttempts.clear();
  }
  if (aNow < this->activeFrom) {
    return {};
  }
  return Round(*this, aView, aNow, aWallNow).Run();
}

void
Placement::RemoveFinished(const FleetSnapshot& aFleet, TimePoint aNow)
{
  this->hostStarts.Observe(aFleet, aNow);
  std::erase_if(this->pendingOrders, [&](const auto& aEntry) {
    const PendingOrder& entry = aEntry.second;
    const Endpoint* endpoint = aFleet.Find(entry.order.endpoint);
    if (endpoint == nullptr) {
      return true;
    }
    if (aNow >= entry.at + this->settings.orderTimeout) {
      // The endpoint has dropped the order and would ignore a repeated one with the same id
      ++this->failedAttempts[entry.step];
      return true;
    }
    // A load report from before the order does not reflect it
    const bool newer = endpoint->load && endpoint->load->asOf > entry.wallAt;
    return newer && IsDone(entry.order, *endpoint);
  });
  std::erase_if(this->refusedUntil, [&](const auto& aEntry) { return aNow >= aEntry.second; });
}

void
Placement::DelayLoads(TimePoint aUntil)
{
  this->loadsAllowedFrom = std::max(this->loadsAllowedFrom, aUntil);
}

void
Placement::OrderWithdrawn(const PlacementOrder& aOrder)
{
  this->pendingOrders.erase(aOrder.id);
}

void
Placement::OrderRefused(const PlacementOrder& aOrder, TimePoint aNow)
{
  this->pendingOrders.erase(aOrder.id);
  this->refusedUntil[aOrder.endpoint] = aNow + this->settings.refusedLoadPause;
}

void
Placement::HostStarted(const std::string& aToken, const std::string& aHost, TimePoint aNow)
{
  this->hostStarts.Started(aToken, aHost, aNow);
}

void
Placement::HostRefused(const std::string& aToken, TimePoint aNow)
{
  this->hostStarts.Refused(aToken, aNow);
}

} // namespace lagoonward
