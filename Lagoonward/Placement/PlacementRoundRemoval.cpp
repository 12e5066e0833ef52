#include "Lagoonward/Placement/LoadedModels.h"
#include "Lagoonward/Placement/PlacementRound.h"

#include <algorithm>

// The half of a round that takes away what is no longer needed.
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
  return std::any_of(this->view.others.begin(), this->view.others.end(),
                     [&](const Manifest* aManifest) {
                       return aManifest->FindModel(aLoaded.name, aLoaded.version) != nullptr;
                     });
}

/// Whether every wanted version of that model is loaded on enough endpoints, adapters included.
bool
Placement::Round::IsReplaced(const LoadedModel& aLoaded) const
{
  const std::size_t domains = this->view.manifest.failureDomains.size();
  for (const ManifestModel& model : this->view.manifest.models) {
    if (model.name != aLoaded.name) {
      continue;
    }
    if (this->loadedCoverage.at(&model).Survivors(domains) < this->Needed(model)) {
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
  std::map<std::string, TimePoint> unneeded;
  for (Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    for (const LoadedModel& loaded : endpoint.load->models) {
      const bool wanted = this->view.manifest.FindModel(loaded.name, loaded.version) != nullptr &&
                          !loaded.version.empty();
      if (wanted || this->IsWantedByOthers(loaded) || !this->IsReplaced(loaded)) {
        continue;
      }
      // Streams that run on it may end first
      const std::string key = endpoint.id + "/" + loaded.name + "@" + loaded.version;
      const auto known = this->placement.unneededSince.find(key);
      const TimePoint since =
        known == this->placement.unneededSince.end() ? this->now : known->second;
      unneeded[key] = since;
      const bool drained =
        !IsBusy(endpoint) || this->now >= since + this->placement.settings.unloadDrain;
      if (!drained || candidate.loading || candidate.refuses) {
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
      candidate.loading = true;
      this->placement.outstanding[order.id] = { order, this->now, this->wallNow, step };
      this->orders.push_back(std::move(order));
    }
  }
  this->placement.unneededSince = std::move(unneeded);
}

/// Whether all versions that it serves have enough endpoints without it.
bool
Placement::Round::IsSpare(const Endpoint& aEndpoint) const
{
  const auto& models = aEndpoint.load->models;
  const bool shared = std::any_of(models.begin(), models.end(), [&](const LoadedModel& aLoaded) {
    return this->IsWantedByOthers(aLoaded);
  });
  const std::size_t domains = this->view.manifest.failureDomains.size();
  return !shared && std::all_of(this->view.manifest.models.begin(),
                                this->view.manifest.models.end(), [&](const ManifestModel& aModel) {
                                  DomainCoverage coverage = this->loadedCoverage.at(&aModel);
                                  if (this->IsHeld(aEndpoint, aModel)) {
                                    coverage.Remove(aEndpoint.failureDomain);
                                  }
                                  return coverage.Survivors(domains) >= this->Needed(aModel);
                                });
}

/// Stops the dearest idle host that nothing needs, one at a time.
void
Placement::Round::StopSpare()
{
  std::map<std::string, TimePoint> spare;
  const Endpoint* dearest = nullptr;
  for (const Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    if (IsBusy(endpoint) || candidate.loading || !this->IsSpare(endpoint)) {
      continue;
    }
    const auto known = this->placement.spareSince.find(endpoint.id);
    const TimePoint since = known == this->placement.spareSince.end() ? this->now : known->second;
    spare[endpoint.id] = since;
    const bool ripe = this->now >= since + this->placement.settings.stopAfter;
    if (ripe && (dearest == nullptr || endpoint.pricePerHour > dearest->pricePerHour)) {
      dearest = &endpoint;
    }
  }
  this->placement.spareSince = std::move(spare);
  if (dearest == nullptr || !this->orders.empty()) {
    return;
  }
  PlacementOrder order;
  order.kind = PlacementOrder::Kind::StopHost;
  order.endpoint = dearest->id;
  order.id = this->StepId(order);
  order.reason = "idle, and the manifest is met without it";
  this->orders.push_back(std::move(order));
}

} // namespace lagoonward
