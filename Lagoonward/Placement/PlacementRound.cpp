#include "Lagoonward/Placement/PlacementRound.h"

#include "Lagoonward/Placement/LoadedModels.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lagoonward {

namespace {

bool
IsBusy(const Endpoint& aEndpoint)
{
  return !aEndpoint.load || aEndpoint.load->running + aEndpoint.load->waiting > 0;
}

} // namespace

Placement::Round::Round(Placement& aPlacement, const PlacementView& aView, TimePoint aNow,
                        WallTime aWallNow)
  : placement(aPlacement)
  , view(aView)
  , now(aNow)
  , wallNow(aWallNow)
{
}

std::vector<PlacementOrder>
Placement::Round::Run()
{
  this->CollectCandidates();
  for (const ManifestModel& model : this->view.manifest.models) {
    this->loadedCoverage.emplace(&model, this->Coverage(model, false));
  }
  this->RepeatStarts();
  for (const ManifestModel& model : this->view.manifest.models) {
    this->PlaceModel(model);
  }
  for (const ManifestModel& model : this->view.manifest.models) {
    this->PlaceAdapters(model);
  }
  this->UnloadUnwanted();
  this->StopSpare();
  return std::move(this->orders);
}

void
Placement::Round::CollectCandidates()
{
  const auto& domains = this->view.manifest.failureDomains;
  const auto& classes = this->view.manifest.machineClasses;
  for (const Endpoint& endpoint : this->view.fleet.endpoints) {
    const bool allowed =
      std::find(domains.begin(), domains.end(), endpoint.failureDomain) != domains.end() &&
      (classes.empty() ||
       std::find(classes.begin(), classes.end(), endpoint.machineClass) != classes.end());
    const bool usable = endpoint.kind == EndpointKind::Engine &&
                        endpoint.state == EndpointState::Live &&
                        endpoint.region == this->placement.region && endpoint.load.has_value();
    if (!allowed || !usable) {
      continue;
    }
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.held = static_cast<int>(endpoint.load->models.size());
    candidate.refuses = this->placement.refusedUntil.count(endpoint.id) > 0;
    for (const auto& [id, entry] : this->placement.outstanding) {
      if (entry.order.endpoint != endpoint.id) {
        continue;
      }
      candidate.loading = true;
      const bool addsModel =
        entry.order.kind == PlacementOrder::Kind::Load &&
        FindLoaded(endpoint, entry.order.model, entry.order.version) == nullptr;
      candidate.held += addsModel ? 1 : 0;
    }
    this->candidates.push_back(candidate);
  }
}

/// A start without an answer is asked for again, with its token.
void
Placement::Round::RepeatStarts()
{
  for (const HostRequest& request : this->placement.starts.Unanswered()) {
    PlacementOrder order;
    order.kind = PlacementOrder::Kind::StartHost;
    order.id = request.clientToken;
    order.host = request;
    order.reason = "its answer has not come";
    this->orders.push_back(order);
  }
}

bool
Placement::Round::IsHeld(const Endpoint& aEndpoint, const ManifestModel& aModel) const
{
  return FindLoaded(aEndpoint, aModel.name, aModel.version) != nullptr;
}

bool
Placement::Round::IsOrdered(const std::string& aEndpoint, const ManifestModel& aModel) const
{
  const auto& pending = this->placement.outstanding;
  return std::any_of(pending.begin(), pending.end(), [&](const auto& aEntry) {
    const PlacementOrder& order = aEntry.second.order;
    return order.kind == PlacementOrder::Kind::Load && order.endpoint == aEndpoint &&
           order.model == aModel.name && order.version == aModel.version;
  });
}

DomainCoverage
Placement::Round::Coverage(const ManifestModel& aModel, bool aPlanned) const
{
  DomainCoverage coverage;
  for (const Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    if (this->IsHeld(endpoint, aModel) || (aPlanned && this->IsOrdered(endpoint.id, aModel))) {
      coverage.Add(endpoint.failureDomain);
    }
  }
  return coverage;
}

int
Placement::Round::Needed(const ManifestModel& aModel) const
{
  int needed = aModel.minEndpoints;
  for (const ModelDemand& demand : this->view.demand) {
    if (demand.model == aModel.name && demand.version == aModel.version) {
      needed = std::max(needed, demand.endpoints);
    }
  }
  return needed;
}

bool
Placement::Round::IsDomainGoing(const std::string& aDomain) const
{
  int all = 0;
  int leaving = 0;
  for (const Endpoint& endpoint : this->view.fleet.endpoints) {
    if (endpoint.failureDomain == aDomain) {
      ++all;
      leaving += endpoint.state == EndpointState::Leaving ? 1 : 0;
    }
  }
  return leaving > 0 && 2 * leaving >= all;
}

void
Placement::Round::PlaceModel(const ManifestModel& aModel)
{
  const std::size_t domains = this->view.manifest.failureDomains.size();
  // Each added endpoint raises the survivors by one at most, the first in a domain by none
  const int needed = this->Needed(aModel);
  const int bound = 2 * needed + static_cast<int>(domains) + 1;
  for (int added = 0; added < bound; ++added) {
    const DomainCoverage coverage = this->Coverage(aModel, true);
    if (coverage.Survivors(domains) >= needed) {
      return;
    }
    Candidate* best = this->BestCandidate(aModel, coverage, needed);
    if (best == nullptr) {
      this->StartHostFor(aModel, coverage);
      return;
    }
    PlacementOrder order;
    order.model = aModel.name;
    order.version = aModel.version;
    order.reason = "too few endpoints would be left if a failure domain went";
    if (!this->OrderLoad(*best, std::move(order))) {
      return;
    }
  }
}

/// The endpoint to load next: in the domain with fewest, then with the most room, then the cheapest.
Placement::Round::Candidate*
Placement::Round::BestCandidate(const ManifestModel& aModel, const DomainCoverage& aCoverage,
                                int aNeeded)
{
  Candidate* best = nullptr;
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(aCoverage.In(aCandidate.endpoint->failureDomain), aCandidate.held,
                      aCandidate.endpoint->pricePerHour, aCandidate.endpoint->id);
  };
  // One more where most are already does not help after that domain has gone
  int most = 0;
  for (const std::string& domain : this->view.manifest.failureDomains) {
    most = std::max(most, aCoverage.In(domain));
  }
  const bool single = this->view.manifest.failureDomains.size() <= 1;
  for (Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    const bool full = candidate.held >= this->placement.settings.modelsPerEndpoint;
    const bool useless = !single && most > 0 && aCoverage.In(endpoint.failureDomain) >= most &&
                         aCoverage.Total() >= aNeeded;
    if (full || useless || candidate.refuses || this->IsHeld(endpoint, aModel) ||
        this->IsOrdered(endpoint.id, aModel) || this->IsDomainGoing(endpoint.failureDomain)) {
      continue;
    }
    if (best == nullptr || rank(candidate) < rank(*best)) {
      best = &candidate;
    }
  }
  return best;
}

void
Placement::Round::StartHostFor(const ManifestModel& aModel, const DomainCoverage& aCoverage)
{
  HostStarts& begun = this->placement.starts;
  if (begun.UnderWay() >= this->placement.settings.concurrentStarts) {
    return;
  }

  // Fewest of the version there, hosts that are coming included; then the price
  std::optional<Price> best;
  std::pair<int, double> bestRank(std::numeric_limits<int>::max(), 0);
  for (const std::string& domain : this->view.manifest.failureDomains) {
    const auto offer = this->placement.offers.Choose(this->view.manifest, this->view.fleet.prices,
                                                     domain, begun, this->now);
    if (!offer || this->IsDomainGoing(domain)) {
      continue;
    }
    const std::pair rank(aCoverage.In(domain) + begun.UnderWayIn(domain),
                         this->placement.offers.RiskPrice(this->view.manifest, *offer));
    if (!best || rank < bestRank) {
      best = offer;
      bestRank = rank;
    }
  }
  // Hosts that are coming may already be enough
  DomainCoverage expected = aCoverage;
  for (const std::string& domain : this->view.manifest.failureDomains) {
    for (int index = 0; index < begun.UnderWayIn(domain); ++index) {
      expected.Add(domain);
    }
  }
  const std::size_t domains = this->view.manifest.failureDomains.size();
  if (!best || expected.Survivors(domains) >= this->Needed(aModel)) {
    return;
  }

  PlacementOrder order;
  order.kind = PlacementOrder::Kind::StartHost;
  order.host = begun.Begin(*best, this->wallNow);
  order.id = order.host.clientToken;
  order.reason = "no endpoint has room for " + aModel.name + "@" + aModel.version;
  this->orders.push_back(std::move(order));
}

std::string
Placement::Round::OrderId(const std::string& aStep) const
{
  const auto failed = this->placement.failedAttempts.find(aStep);
  return failed == this->placement.failedAttempts.end()
           ? aStep
           : aStep + "/attempt-" + std::to_string(failed->second);
}

std::string
Placement::Round::StepId(const PlacementOrder& aOrder) const
{
  return this->placement.market + "/" + aOrder.endpoint + "/" + std::string(ToString(aOrder.kind)) +
         "/" + aOrder.model + "@" + aOrder.version + "/" + aOrder.adapter + "@" +
         aOrder.adapterVersion + "/" + std::to_string(this->view.configurationOffset);
}

int
Placement::Round::LoadsUnderWay() const
{
  const auto& pending = this->placement.outstanding;
  const auto count = std::count_if(pending.begin(), pending.end(), [](const auto& aEntry) {
    return aEntry.second.order.kind == PlacementOrder::Kind::Load;
  });
  return static_cast<int>(count);
}

bool
Placement::Round::OrderLoad(Candidate& aCandidate, PlacementOrder aOrder)
{
  if (this->now < this->placement.loadsFrom ||
      this->LoadsUnderWay() >= this->placement.settings.concurrentLoads) {
    return false;
  }
  aOrder.kind = PlacementOrder::Kind::Load;
  aOrder.endpoint = aCandidate.endpoint->id;
  const std::string step = this->StepId(aOrder);
  aOrder.id = this->OrderId(step);
  aCandidate.loading = true;
  aCandidate.held += aOrder.adapter.empty() ? 1 : 0;
  this->placement.outstanding[aOrder.id] = { aOrder, this->now, this->wallNow, step };
  this->orders.push_back(std::move(aOrder));
  return true;
}

void
Placement::Round::PlaceAdapters(const ManifestModel& aModel)
{
  for (Candidate& candidate : this->candidates) {
    const LoadedModel* loaded = FindLoaded(*candidate.endpoint, aModel.name, aModel.version);
    if (loaded == nullptr || candidate.refuses || candidate.loading) {
      continue;
    }
    for (const ManifestAdapter& adapter : aModel.adapters) {
      for (const std::string& version : adapter.versions) {
        // One order at a time on each endpoint
        if (candidate.loading || HasAdapter(*loaded, adapter.name, version)) {
          continue;
        }
        PlacementOrder order;
        order.model = aModel.name;
        order.version = aModel.version;
        order.adapter = adapter.name;
        order.adapterVersion = version;
        order.reason = "the manifest names the adapter";
        if (!this->OrderLoad(candidate, std::move(order))) {
          return;
        }
      }
    }
  }
}

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
