#include "Lagoonward/Placement/PlacementRound.h"

#include "Lagoonward/Placement/LoadedModels.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lagoonward {

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
  this->RepeatUnansweredStarts();
  for (const ManifestModel& model : this->view.manifest.models) {
    this->PlaceModel(model);
  }
  for (const ManifestModel& model : this->view.manifest.models) {
    this->PlaceAdapters(model);
  }
  this->UnloadUnwanted();
  this->StopUnneededHost();
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
    candidate.modelCount = static_cast<int>(endpoint.load->models.size());
    candidate.refusedRecently = this->placement.refusedUntil.count(endpoint.id) > 0;
    for (const auto& [id, entry] : this->placement.pendingOrders) {
      if (entry.order.endpoint != endpoint.id) {
        continue;
      }
      candidate.hasPendingOrder = true;
      const bool addsModel =
        entry.order.kind == PlacementOrder::Kind::Load &&
        FindLoaded(endpoint, entry.order.model, entry.order.version) == nullptr;
      candidate.modelCount += addsModel ? 1 : 0;
    }
    this->candidates.push_back(candidate);
  }
}

/// Repeats each start without a response, with the same token.
void
Placement::Round::RepeatUnansweredStarts()
{
  for (const HostRequest& request : this->placement.hostStarts.Unanswered()) {
    PlacementOrder order;
    order.kind = PlacementOrder::Kind::StartHost;
    order.id = request.clientToken;
    order.host = request;
    order.reason = "its answer has not come";
    this->orders.push_back(order);
  }
}

bool
Placement::Round::IsLoaded(const Endpoint& aEndpoint, const ManifestModel& aModel) const
{
  return FindLoaded(aEndpoint, aModel.name, aModel.version) != nullptr;
}

bool
Placement::Round::IsLoadOrdered(const std::string& aEndpoint, const ManifestModel& aModel) const
{
  const auto& pending = this->placement.pendingOrders;
  return std::any_of(pending.begin(), pending.end(), [&](const auto& aEntry) {
    const PlacementOrder& order = aEntry.second.order;
    return order.kind == PlacementOrder::Kind::Load && order.endpoint == aEndpoint &&
           order.model == aModel.name && order.version == aModel.version;
  });
}

DomainCoverage
Placement::Round::Coverage(const ManifestModel& aModel, bool aIncludeOrdered) const
{
  DomainCoverage coverage;
  for (const Candidate& candidate : this->candidates) {
    const Endpoint& endpoint = *candidate.endpoint;
    if (this->IsLoaded(endpoint, aModel) ||
        (aIncludeOrdered && this->IsLoadOrdered(endpoint.id, aModel))) {
      coverage.Add(endpoint.failureDomain);
    }
  }
  return coverage;
}

int
Placement::Round::RequiredEndpoints(const ManifestModel& aModel) const
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
Placement::Round::IsDomainLeaving(const std::string& aDomain) const
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
  // An added endpoint raises the survivors by at most one, the first in a domain by none
  const int needed = this->RequiredEndpoints(aModel);
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
    order.reason = "too few endpoints would remain after the loss of a failure domain";
    if (!this->OrderLoad(*best, std::move(order))) {
      return;
    }
  }
}

bool
Placement::Round::CanLoad(const Candidate& aCandidate, const ManifestModel& aModel) const
{
  const Endpoint& endpoint = *aCandidate.endpoint;
  const bool full = aCandidate.modelCount >= this->placement.settings.modelsPerEndpoint;
  return !full && !aCandidate.refusedRecently && !this->IsLoaded(endpoint, aModel) &&
         !this->IsLoadOrdered(endpoint.id, aModel) &&
         !this->IsDomainLeaving(endpoint.failureDomain);
}

std::optional<Price>
Placement::Round::OfferIn(const std::string& aDomain) const
{
  if (this->IsDomainLeaving(aDomain)) {
    return std::nullopt;
  }
  return this->placement.offerSelector.Choose(this->view.manifest, this->view.fleet.prices, aDomain,
                                              this->placement.hostStarts, this->now);
}

std::size_t
Placement::Round::AvailableDomains(const ManifestModel& aModel) const
{
  std::set<std::string> available;
  for (const std::string& domain : this->view.manifest.failureDomains) {
    if (this->OfferIn(domain)) {
      available.insert(domain);
    }
  }
  for (const Candidate& candidate : this->candidates) {
    if (this->CanLoad(candidate, aModel)) {
      available.insert(candidate.endpoint->failureDomain);
    }
  }
  return available.size();
}

/// The endpoint to load next: in the domain with the fewest of this version, then the one with the fewest models,
/// then the cheapest.
Placement::Round::Candidate*
Placement::Round::BestCandidate(const ManifestModel& aModel, const DomainCoverage& aCoverage,
                                int aNeeded)
{
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(aCoverage.CountIn(aCandidate.endpoint->failureDomain), aCandidate.modelCount,
                      aCandidate.endpoint->pricePerHour, aCandidate.endpoint->id);
  };
  const std::size_t available = this->AvailableDomains(aModel);
  Candidate* best = nullptr;
  for (Candidate& candidate : this->candidates) {
    const bool isUseful = aCoverage.IsUseful(candidate.endpoint->failureDomain, available, aNeeded);
    if (!isUseful || !this->CanLoad(candidate, aModel)) {
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
  HostStartTracker& starts = this->placement.hostStarts;
  if (starts.InProgressCount() >= this->placement.settings.concurrentStarts) {
    return;
  }

  // Count the hosts that are starting
  const int needed = this->RequiredEndpoints(aModel);
  DomainCoverage expected = aCoverage;
  for (const std::string& domain : this->view.manifest.failureDomains) {
    for (int index = 0; index < starts.InProgressCountIn(domain); ++index) {
      expected.Add(domain);
    }
  }
  if (expected.Survivors(this->view.manifest.failureDomains.size()) >= needed) {
    return;
  }

  // Prefer the domain with the fewest endpoints of this version, then the lowest price
  std::optional<Price> best;
  std::pair<int, double> bestRank(std::numeric_limits<int>::max(), 0);
  const std::size_t available = this->AvailableDomains(aModel);
  for (const std::string& domain : this->view.manifest.failureDomains) {
    const auto offer = this->OfferIn(domain);
    if (!offer || !expected.IsUseful(domain, available, needed)) {
      continue;
    }
    const std::pair rank(expected.CountIn(domain),
                         this->placement.offerSelector.RiskPrice(this->view.manifest, *offer));
    if (!best || rank < bestRank) {
      best = offer;
      bestRank = rank;
    }
  }
  if (!best) {
    return;
  }

  PlacementOrder order;
  order.kind = PlacementOrder::Kind::StartHost;
  order.host = starts.Begin(*best, this->wallNow);
  order.id = order.host.clientToken;
  order.reason = "no endpoint has free capacity for " + aModel.name + "@" + aModel.version;
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
Placement::Round::LoadsInProgress() const
{
  const auto& pending = this->placement.pendingOrders;
  const auto count = std::count_if(pending.begin(), pending.end(), [](const auto& aEntry) {
    return aEntry.second.order.kind == PlacementOrder::Kind::Load;
  });
  return static_cast<int>(count);
}

bool
Placement::Round::OrderLoad(Candidate& aCandidate, PlacementOrder aOrder)
{
  if (this->now < this->placement.loadsAllowedFrom ||
      this->LoadsInProgress() >= this->placement.settings.concurrentLoads) {
    return false;
  }
  aOrder.kind = PlacementOrder::Kind::Load;
  aOrder.endpoint = aCandidate.endpoint->id;
  const std::string step = this->StepId(aOrder);
  aOrder.id = this->OrderId(step);
  aCandidate.hasPendingOrder = true;
  aCandidate.modelCount += aOrder.adapter.empty() ? 1 : 0;
  this->placement.pendingOrders[aOrder.id] = { aOrder, this->now, this->wallNow, step };
  this->orders.push_back(std::move(aOrder));
  return true;
}

void
Placement::Round::PlaceAdapters(const ManifestModel& aModel)
{
  for (Candidate& candidate : this->candidates) {
    const LoadedModel* loaded = FindLoaded(*candidate.endpoint, aModel.name, aModel.version);
    if (loaded == nullptr || candidate.refusedRecently || candidate.hasPendingOrder) {
      continue;
    }
    for (const ManifestAdapter& adapter : aModel.adapters) {
      for (const std::string& version : adapter.versions) {
        // Only one order at a time per endpoint
        if (candidate.hasPendingOrder || HasAdapter(*loaded, adapter.name, version)) {
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

} // namespace lagoonward
