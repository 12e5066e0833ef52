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
  this->Lead();
}

void
PlacementHarness::Lead()
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

/// Live endpoints that have the version, by domain.
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
    RC_ASSERT(repeated || this->goingDomains.count(aOrder.host.failureDomain) == 0 ||
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

/// The cloud: one host for each token.
void
PlacementHarness::ObeyStart(const PlacementOrder& aOrder, Fate aFate)
{
  if (aFate == Fate::Refused) {
    this->placement->HostRefused(aOrder.id, this->clock.Now());
    return;
  }
  const auto [host, isNew] =
    this->hostOfToken.try_emplace(aOrder.id, "h-" + std::to_string(this->hosts));
  if (isNew) {
    ++this->hosts;
    Endpoint endpoint;
    endpoint.id = host->second;
    endpoint.failureDomain = aOrder.host.failureDomain;
    endpoint.region = "vestland";
    endpoint.machineClass = aOrder.host.machineClass;
    endpoint.load = EndpointLoad{};
    endpoint.load->asOf = this->clock.WallNow();
    this->fleet.endpoints.push_back(endpoint);
  }
  if (aFate != Fate::AnswerLost) {
    this->placement->HostStarted(aOrder.id, host->second, this->clock.Now());
  }
}

void
PlacementHarness::Obey(const PlacementOrder& aOrder, Fate aFate)
{
  if (aFate == Fate::Lost) {
    return;
  }
  if (aOrder.kind == Kind::StartHost) {
    this->ObeyStart(aOrder, aFate);
    return;
  }
  if (aFate == Fate::Refused) {
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
PlacementHarness::Reconcile(Fate aFate)
{
  const PlacementView view{ this->manifest, this->offset, this->fleet, {}, {} };
  const auto orders = this->placement->Reconcile(view, this->clock.Now(), this->clock.WallNow());
  for (const PlacementOrder& order : orders) {
    this->CheckOrder(order);
  }
  for (const PlacementOrder& order : orders) {
    this->Obey(order, aFate);
  }
  this->lastOrders = orders.size();
}

/// Endpoints report anew; hosts of a going domain go.
void
PlacementHarness::Refresh()
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
      this->Reconcile(static_cast<Fate>(aOperation.kind));
      break;
    case 4:
      this->clock.Advance(Seconds(aOperation.argument));
      this->Refresh();
      break;
    case 5:
      this->Lead();
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
          this->goingDomains.insert(domain);
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
  // A notice ends with the hosts that had it
  std::erase_if(this->goingDomains, [&](const std::string& aDomain) {
    return std::none_of(
      this->fleet.endpoints.begin(), this->fleet.endpoints.end(), [&](const Endpoint& aEndpoint) {
        return aEndpoint.failureDomain == aDomain && aEndpoint.state == EndpointState::Leaving;
      });
  });
}

void
PlacementHarness::Finish()
{
  // The leaving hosts go, faults are over
  std::erase_if(this->fleet.endpoints, [](const Endpoint& aEndpoint) {
    return aEndpoint.state == EndpointState::Leaving;
  });
  this->goingDomains.clear();
  const auto before = this->hosts;
  constexpr int kRounds = 240;
  for (int round = 0; round < kRounds; ++round) {
    this->clock.Advance(Seconds(10));
    this->Refresh();
    this->Reconcile(Fate::Obeyed);
  }
  const ManifestModel& wanted = this->manifest.models.front();
  RC_ASSERT(this->Coverage(wanted.version).Survivors(kDomains) >= wanted.minEndpoints);
  RC_ASSERT(this->lastOrders == 0U);

  // One more than the minimum in each domain would do for any spread
  RC_ASSERT(this->hosts - before <= 2 * wanted.minEndpoints + kDomains);
  for (const Endpoint& endpoint : this->fleet.endpoints) {
    for (const LoadedModel& model : endpoint.load->models) {
      RC_ASSERT(model.version == wanted.version);
    }
  }
}

} // namespace lagoonward::fuzz
