#include "Lagoonward/Placement/LoadedModels.h"
#include "Lagoonward/Placement/PlacementRound.h"

#include <algorithm>

// The part of a round that unloads models and stops hosts that are no longer needed.
namespace lagoonward {

namespace {

bool
IsBusy(const Endpoint& aEndpoint)
{
  return !aEndpoint.load || aEndpoint.load->running + aEndpoint.load->waiting > 0;
}

} // namespace

bool
Placement::Round::IsWantedByOthers(const LoadedModel& aLoaded) const
{
  return std::any_of(this->view.otherManifests.begin(), this->view.otherManifests.end(),
                     [&](const Manifest* aManifest) {
                       return aManifest->FindModel(aLoaded.name, aLoaded.version) != nullptr;
                     });
}

/// Whether every version of that model in the manifest is loaded on enough endpoints, including its adapters.
bool
Placement::Round::IsReplaced(const LoadedModel& aLoaded) const
{
  const std::size_t domains = this->view.manifest.failureDomains.size();
  for (const ManifestModel& model : this->view.manifest.models) {
    if (model.name != aLoaded.name) {
      continue;
    }
    if (this->loadedCoverage.at(&model).Survivors(domains) < this->RequiredEndpoints(model)) {
      return false;
    }
    for (const Candidate& candidate : this->candidates) {
      const LoadedModel* loaded = FindLoaded(*candidate.endpoint, model.name, model.version);
      for (const ManifestAdapter& adapter : model.adapters) {
        for (const std::string& version : adapter.versions) {
          if (loaded != nullptr && !HasAdapter(*loaded, adapter.name, version)) {
            return false;
          }
        }
      }
    }
  }
  return true;
}

void
Placement::Round::UnloadUnwanted()
{
  std::map<std::string, TimePoint> unneededVersions;
  for (Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    for (const LoadedModel& loaded : endpoint.load->models) {
      const bool wanted = this->view.manifest.FindModel(loaded.name, loaded.version) != nullptr &&
                          !loaded.version.empty();
      if (wanted || this->IsWantedByOthers(loaded) || !this->IsReplaced(loaded)) {
        continue;
      }
      // Let the running streams end first
      const std::string key = endpoint.id + "/" + loaded.name + "@" + loaded.version;
      const auto known = this->placement.unneededVersionSince.find(key);
      const TimePoint since =
        known == this->placement.unneededVersionSince.end() ? this->now : known->second;
      unneededVersions[key] = since;
      const bool drained =
        !IsBusy(endpoint) || this->now >= since + this->placement.settings.unloadDrain;
      if (!drained || candidate.hasPendingOrder || candidate.refusedRecently) {
        continue;
      }
      PlacementOrder order;
      order.kind = PlacementOrder::Kind::Unload;
      order.endpoint = endpoint.id;
      order.model = loaded.name;
      order.version = loaded.version;
      const std::string step = this->StepId(order);
      order.id = this->OrderId(step);
      order.reason = "the manifest no longer names it and its replacement is loaded";
      candidate.hasPendingOrder = true;
      this->placement.pendingOrders[order.id] = { order, this->now, this->wallNow, step };
      this->orders.push_back(std::move(order));
    }
  }
  this->placement.unneededVersionSince = std::move(unneededVersions);
}

/// Whether all versions that the endpoint serves have enough endpoints without it.
bool
Placement::Round::IsUnneeded(const Endpoint& aEndpoint) const
{
  const auto& models = aEndpoint.load->models;
  const bool shared = std::any_of(models.begin(), models.end(), [&](const LoadedModel& aLoaded) {
    return this->IsWantedByOthers(aLoaded);
  });
  const std::size_t domains = this->view.manifest.failureDomains.size();
  return !shared &&
         std::all_of(this->view.manifest.models.begin(), this->view.manifest.models.end(),
                     [&](const ManifestModel& aModel) {
                       DomainCoverage coverage = this->loadedCoverage.at(&aModel);
                       if (this->IsLoaded(aEndpoint, aModel)) {
                         coverage.Remove(aEndpoint.failureDomain);
                       }
                       return coverage.Survivors(domains) >= this->RequiredEndpoints(aModel);
                     });
}

/// Stops the most expensive idle host that is not needed, one at a time.
void
Placement::Round::StopUnneededHost()
{
  std::map<std::string, TimePoint> unneededHosts;
  const Endpoint* mostExpensive = nullptr;
  for (const Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    if (IsBusy(endpoint) || candidate.hasPendingOrder || !this->IsUnneeded(endpoint)) {
      continue;
    }
    const auto known = this->placement.unneededHostSince.find(endpoint.id);
    const TimePoint since =
      known == this->placement.unneededHostSince.end() ? this->now : known->second;
    unneededHosts[endpoint.id] = since;
    const bool isIdleLongEnough = this->now >= since + this->placement.settings.idleStopDelay;
    if (isIdleLongEnough &&
        (mostExpensive == nullptr || endpoint.pricePerHour > mostExpensive->pricePerHour)) {
      mostExpensive = &endpoint;
    }
  }
  this->placement.unneededHostSince = std::move(unneededHosts);
  if (mostExpensive == nullptr || !this->orders.empty()) {
    return;
  }
  PlacementOrder order;
  order.kind = PlacementOrder::Kind::StopHost;
  order.endpoint = mostExpensive->id;
  order.id = this->StepId(order);
  order.reason = "idle, and the manifest is met without it";
  this->orders.push_back(std::move(order));
}

} // namespace lagoonward
