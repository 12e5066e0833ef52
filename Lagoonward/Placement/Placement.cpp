#include "Lagoonward/Placement/Placement.h"

#include "Lagoonward/Placement/LoadedModels.h"
#include "Lagoonward/Placement/PlacementRound.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Whether the endpoint's report shows the order done.
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
  , activeFrom(aNow + aSettings.settle)
  , loadsFrom(aNow)
  , starts(aSettings, this->market, this->region)
  , offers(aSettings)
{
}

std::vector<PlacementOrder>
Placement::Reconcile(const PlacementView& aView, TimePoint aNow, WallTime aWallNow)
{
  this->offers.Observe(aView.manifest, aView.fleet.prices, aNow);
  this->Forget(aView.fleet, aNow);
  if (this->attemptsOf != aView.configurationOffset) {
    this->attemptsOf = aView.configurationOffset;
    this->failedAttempts.clear();
  }
  if (aNow < this->activeFrom) {
    return {};
  }
  return Round(*this, aView, aNow, aWallNow).Run();
}

void
Placement::Forget(const FleetSnapshot& aFleet, TimePoint aNow)
{
  this->starts.Observe(aFleet, aNow);
  std::erase_if(this->outstanding, [&](const auto& aEntry) {
    const Outstanding& entry = aEntry.second;
    const Endpoint* endpoint = aFleet.Find(entry.order.endpoint);
    if (endpoint == nullptr) {
      return true;
    }
    if (aNow >= entry.at + this->settings.orderTimeout) {
      // The endpoint has dropped it, and would do nothing on seeing the same id again
      ++this->failedAttempts[entry.step];
      return true;
    }
    // A reading from before the order says nothing about it
    const bool newer = endpoint->load && endpoint->load->asOf > entry.wallAt;
    return newer && IsDone(entry.order, *endpoint);
  });
  std::erase_if(this->refusedUntil, [&](const auto& aEntry) { return aNow >= aEntry.second; });
}

void
Placement::DelayLoads(TimePoint aUntil)
{
  this->loadsFrom = std::max(this->loadsFrom, aUntil);
}

void
Placement::OrderWithdrawn(const PlacementOrder& aOrder)
{
  this->outstanding.erase(aOrder.id);
}

void
Placement::OrderRefused(const PlacementOrder& aOrder, TimePoint aNow)
{
  this->outstanding.erase(aOrder.id);
  this->refusedUntil[aOrder.endpoint] = aNow + this->settings.refusedLoadPause;
}

void
Placement::HostStarted(const std::string& aToken, const std::string& aHost, TimePoint aNow)
{
  this->starts.Started(aToken, aHost, aNow);
}

void
Placement::HostRefused(const std::string& aToken, TimePoint aNow)
{
  this->starts.Refused(aToken, aNow);
}

} // namespace lagoonward
