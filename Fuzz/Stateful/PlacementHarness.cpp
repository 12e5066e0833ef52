#include "Fuzz/Stateful/PlacementHarness.h"

#include <algorithm>

namespace lagoonward::fuzz {

using Kind = PlacementOrder::Kind;

PlacementHarness::PlacementHarness()
{
  this->manifest.market = "utslipp";
  this->manifest.region = "vestland";
  for (int domain = 0; domain < kDomains; ++domain) {
    const std::string name = "z-" + std::to_string(domain);
    this->manifest.failureDomains.push_back(name);
    this->fleet.prices.push_back({ "large", name, true, 1 });
    this->fleet.prices.push_back({ "large", name, false, 3 });
  }
  this->manifest.models = { { "permit", "1", {}, 2 } };
  this->ReplaceLeader();
}

void
PlacementHarness::ReplaceLeader()
{
  this->placement =
    std::make_unique<Placement>(this->settings, "utslipp", "vestland", this->clock.Now());
}

Endpoint*
PlacementHarness::Find(const std::string& aId)
{
  const auto found = std::find_if(this->fleet.endpoints.begin(), this->fleet.endpoints.end(),
                                  [&](const Endpoint& aEndpoint) { return aEndpoint.id == aId; });
  return found == this->fleet.endpoints.end() ? nullptr : &*found;
}

/// Counts the live endpoints that have the version loaded, by failure domain.
DomainCoverage
PlacementHarness::Coverage(const std::string& aVersion) const
{
  DomainCoverage coverage;
  for (const Endpoint& endpoint : this->fleet.endpoints) {
    const auto& models = endpoint.load->models;
    const bool holds = std::any_of(models.begin(), models.end(), [&](const LoadedModel& aModel) {
      return aModel.version == aVersion;
    });
    if (holds && endpoint.state == EndpointState::Live) {
      coverage.Add(endpoint.failureDomain);
    }
  }
  return coverage;
}

void
PlacementHarness::CheckOrder(const PlacementOrder& aOrder) const
{
  if (aOrder.kind == Kind::StartHost) {
    const bool repeated = this->hostOfToken.count(aOrder.id) > 0;
    RC_ASSERT(repeated || this->leavingDomains.count(aOrder.host.failureDomain) == 0 ||
              aOrder.reason == "its answer has not come");
    return;
  }
  const Endpoint* endpoint = this->fleet.Find(aOrder.endpoint);
  RC_ASSERT(endpoint != nullptr);
  RC_ASSERT(endpoint->state == EndpointState::Live);
  const ManifestModel& wanted = this->manifest.models.front();
  const DomainCoverage coverage = this->Coverage(wanted.version);
  if (aOrder.kind == Kind::Unload) {
    RC_ASSERT(aOrder.version != wanted.version);
    RC_ASSERT(coverage.Survivors(kDomains) >= wanted.minEndpoints);
  }
  if (aOrder.kind == Kind::StopHost) {
    RC_ASSERT(endpoint->load->running == 0);
    DomainCoverage left = coverage;
    const auto& models = endpoint->load->models;
    if (std::any_of(models.begin(), models.end(),
                    [&](const LoadedModel& aModel) { return aModel.version == wanted.version; })) {
      left.Remove(endpoint->failureDomain);
    }
    RC_ASSERT(left.Survivors(kDomains) >= wanted.minEndpoints);
  }
}

/// Starts a host as the cloud does: one host per token, also if the order is repeated.
void
PlacementHarness::ExecuteStart(const PlacementOrder& aOrder, OrderOutcome aOutcome)
{
  if (aOutcome == OrderOutcome::Refused) {
    this->placement->HostRefused(aOrder.id, this->clock.Now());
    return;
  }
  const auto [host, isNew] =
    this->hostOfToken.try_emplace(aOrder.id, "h-" + std::to_string(this->startedHosts));
  if (isNew) {
    ++this->startedHosts;
    Endpoint endpoint;
    endpoint.id = host->second;
    endpoint.failureDomain = aOrder.host.failureDomain;
    endpoint.region = "vestland";
    endpoint.machineClass = aOrder.host.machineClass;
    endpoint.load = EndpointLoad{};
    endpoint.load->asOf = this->clock.WallNow();
    this->fleet.endpoints.push_back(endpoint);
  }
  if (aOutcome != OrderOutcome::AnswerLost) {
    this->placement->HostStarted(aOrder.id, host->second, this->clock.Now());
  }
}

void
PlacementHarness::ExecuteOrder(const PlacementOrder& aOrder, OrderOutcome aOutcome)
{
  if (aOutcome == OrderOutcome::Lost) {
    return;
  }
  if (aOrder.kind == Kind::StartHost) {
    this->ExecuteStart(aOrder, aOutcome);
    return;
  }
  if (aOutcome == OrderOutcome::Refused) {
    this->placement->OrderRefused(aOrder, this->clock.Now());
    return;
  }
  Endpoint* endpoint = this->Find(aOrder.endpoint);
  auto& models = endpoint->load->models;
  if (aOrder.kind == Kind::StopHost) {
    std::erase_if(this->fleet.endpoints,
                  [&](const Endpoint& aEndpoint) { return aEndpoint.id == aOrder.endpoint; });
  } else if (aOrder.kind == Kind::Load) {
    models.push_back({ aOrder.model, aOrder.version, {} });
  } else {
    std::erase_if(models,
                  [&](const LoadedModel& aModel) { return aModel.version == aOrder.version; });
  }
}

void
PlacementHarness::Reconcile(OrderOutcome aOutcome)
{
  const PlacementView view{ this->manifest, this->offset, this->fleet, {}, {} };
  const auto orders = this->placement->Reconcile(view, this->clock.Now(), this->clock.WallNow());
  for (const PlacementOrder& order : orders) {
    this->CheckOrder(order);
  }
  for (const PlacementOrder& order : orders) {
    this->ExecuteOrder(order, aOutcome);
  }
  this->lastOrders = orders.size();
}

/// All endpoints report their load with the current time.
void
PlacementHarness::RefreshLoads()
{
  for (Endpoint& endpoint : this->fleet.endpoints) {
    endpoint.load->asOf = this->clock.WallNow();
  }
}

void
PlacementHarness::Run(const Operation& aOperation)
{
  switch (aOperation.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      this->Reconcile(static_cast<OrderOutcome>(aOperation.kind));
      break;
    case 4:
      this->clock.Advance(Seconds(aOperation.argument));
      this->RefreshLoads();
      break;
    case 5:
      this->ReplaceLeader();
      break;
    case 6:
      if (!this->fleet.endpoints.empty()) {
        const auto index = aOperation.argument % this->fleet.endpoints.size();
        this->fleet.endpoints.erase(this->fleet.endpoints.begin() +
                                    static_cast<std::ptrdiff_t>(index));
      }
      break;
    case 7: {
      const std::string domain = "z-" + std::to_string(aOperation.actor);
      for (Endpoint& endpoint : this->fleet.endpoints) {
        if (endpoint.failureDomain == domain) {
          endpoint.state = EndpointState::Leaving;
          this->leavingDomains.insert(domain);
        }
      }
      break;
    }
    case 8:
      this->manifest.models.front().version = std::to_string(++this->version);
      ++this->offset;
      break;
    case 9:
      for (Price& price : this->fleet.prices) {
        price.perHour =
          1 + (aOperation.argument + static_cast<int>(price.failureDomain.back())) % 5;
      }
      break;
    case 10:
      this->placement->DelayLoads(this->clock.Now() + Seconds(aOperation.argument));
      break;
    default:
      this->manifest.models.front().minEndpoints = 1 + aOperation.argument % 4;
      ++this->offset;
      break;
  }
  // A domain's notice ends when none of its hosts is leaving any more
  std::erase_if(this->leavingDomains, [&](const std::string& aDomain) {
    return std::none_of(
      this->fleet.endpoints.begin(), this->fleet.endpoints.end(), [&](const Endpoint& aEndpoint) {
        return aEndpoint.failureDomain == aDomain && aEndpoint.state == EndpointState::Leaving;
      });
  });
}

void
PlacementHarness::Finish()
{
  // The leaving hosts terminate, and no more faults occur
  std::erase_if(this->fleet.endpoints, [](const Endpoint& aEndpoint) {
    return aEndpoint.state == EndpointState::Leaving;
  });
  this->leavingDomains.clear();
  const auto before = this->startedHosts;
  constexpr int kRounds = 240;
  for (int round = 0; round < kRounds; ++round) {
    this->clock.Advance(Seconds(10));
    this->RefreshLoads();
    this->Reconcile(OrderOutcome::Executed);
  }
  const ManifestModel& wanted = this->manifest.models.front();
  RC_ASSERT(this->Coverage(wanted.version).Survivors(kDomains) >= wanted.minEndpoints);
  RC_ASSERT(this->lastOrders == 0U);

  // One endpoint more than the minimum per domain suffices for any distribution of endpoints over the domains
  RC_ASSERT(this->startedHosts - before <= 2 * wanted.minEndpoints + kDomains);
  for (const Endpoint& endpoint : this->fleet.endpoints) {
    for (const LoadedModel& model : endpoint.load->models) {
      RC_ASSERT(model.version == wanted.version);
    }
  }
}

} // namespace lagoonward::fuzz
