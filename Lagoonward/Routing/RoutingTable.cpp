#include "Lagoonward/Routing/RoutingTable.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace lagoonward {

namespace {

constexpr int kMaxRank = 3;
constexpr double kSecondsPerHour = 3600;

std::uint64_t
ModelKey(std::string_view aModel, std::string_view aVersion, std::string_view aAdapter,
         std::string_view aAdapterVersion)
{
  const auto model = CombineHashes(HashBytes(aModel, 1), HashBytes(aVersion, 2));
  const auto adapter = CombineHashes(HashBytes(aAdapter, 3), HashBytes(aAdapterVersion, 4));
  return CombineHashes(model, adapter);
}

std::uint64_t
ServiceKey(std::string_view aName)
{
  return HashBytes(aName, 5);
}

std::uint64_t
SoftwareKey(std::string_view aService, std::string_view aSoftwareVersion)
{
  return CombineHashes(ServiceKey(aService), HashBytes(aSoftwareVersion, 6));
}

/// Returns the index of a name in a list, and appends the name if it is missing.
std::uint16_t
Intern(std::vector<std::string>& aNames, const std::string& aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  if (found != aNames.end()) {
    return static_cast<std::uint16_t>(found - aNames.begin());
  }
  aNames.push_back(aName);
  return static_cast<std::uint16_t>(aNames.size() - 1);
}

/// Converts a report's wall time to the steady clock.
TimePoint
ToSteady(WallTime aWall, const Clock& aClock)
{
  const auto age = aClock.WallNow() - aWall;
  const auto now = aClock.Now();
  if (age <= WallTime::duration::zero()) {
    return now;
  }
  return now - std::chrono::duration_cast<TimePoint::duration>(age);
}

} // namespace

RoutingTablePtr
RoutingTable::Build(const FleetSnapshot& aFleet, const Manifest& aManifest, const Clock& aClock,
                    const RoutingTableSettings& aSettings)
{
  auto table = std::make_shared<RoutingTable>();
  table->models = aManifest.models;
  for (const ManifestClass& each : aManifest.classes) {
    table->priorities.push_back(each.priority);
  }
  auto& priorities = table->priorities;
  std::sort(priorities.begin(), priorities.end());
  priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());

  // Targets keep the order of the snapshot, so that the caller can match their indices
  table->targets.reserve(aFleet.endpoints.size());
  for (const Endpoint& endpoint : aFleet.endpoints) {
    table->AddTarget(endpoint, aClock, aSettings);
  }
  double sum = 0;
  int live = 0;
  for (const RoutingTarget& target : table->targets) {
    sum += target.live ? target.pricePerSecond : 0;
    live += target.live ? 1 : 0;
  }
  table->meanPricePerSecond =
    live > 0 ? sum / live : aSettings.fallbackPricePerHour / kSecondsPerHour;
  table->AddGroups(aFleet, aManifest);
  table->FinishGroups(aSettings);
  return table;
}

void
RoutingTable::AddTarget(const Endpoint& aEndpoint, const Clock& aClock,
                        const RoutingTableSettings& aSettings)
{
  RoutingTarget target;
  target.id = aEndpoint.id;
  target.key = EndpointKeyOf(aEndpoint);
  target.live = aEndpoint.state == EndpointState::Live;
  target.software = SoftwareKey(aEndpoint.name, aEndpoint.softwareVersion);
  target.reclaimable = aEndpoint.reclaimable;
  target.fetchSecondsPerToken = aEndpoint.fetchSecondsPerToken;
  target.machineClass = Intern(this->machineClasses, aEndpoint.machineClass);
  target.failureDomain = Intern(this->failureDomains, aEndpoint.failureDomain);
  const double perHour =
    aEndpoint.pricePerHour > 0 ? aEndpoint.pricePerHour : aSettings.fallbackPricePerHour;
  target.pricePerSecond = perHour / kSecondsPerHour;
  target.asOf = aClock.Now();
  target.sequences = aEndpoint.sequences;
  target.reportsLoad = aEndpoint.load.has_value();
  if (aEndpoint.load) {
    target.waiting = aEndpoint.load->waiting;
    target.running = aEndpoint.load->running;
    target.asOf = ToSteady(aEndpoint.load->asOf, aClock);
  }
  this->leavingDomains.resize(this->failureDomains.size(), 0);
  if (aEndpoint.state == EndpointState::Leaving) {
    this->leavingDomains[target.failureDomain] = 1;
  }
  this->targets.push_back(std::move(target));
}

void
RoutingTable::AddGroups(const FleetSnapshot& aFleet, const Manifest& aManifest)
{
  // Declared services have a group even if no endpoint serves them
  for (const ManifestService& service : aManifest.services) {
    this->groups.push_back({ service.name, ServiceKey(service.name), {}, {}, {} });
  }
  std::sort(this->groups.begin(), this->groups.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.key < aRight.key; });
  for (std::uint32_t index = 0; index < aFleet.endpoints.size(); ++index) {
    const Endpoint& endpoint = aFleet.endpoints[index];
    if (endpoint.kind == EndpointKind::Service) {
      this->AddMember(endpoint.name, ServiceKey(endpoint.name), index);
      this->AddMember(fmt::format("{} {}", endpoint.name, endpoint.softwareVersion),
                      this->targets[index].software, index);
      continue;
    }
    if (!endpoint.load) {
      continue;
    }
    for (const LoadedModel& model : endpoint.load->models) {
      this->AddMember(model.name, ModelKey(model.name, model.version, {}, {}), index);
      for (const LoadedAdapter& adapter : model.adapters) {
        const auto key = ModelKey(model.name, model.version, adapter.name, adapter.version);
        this->AddMember(fmt::format("{}:{}@{}", model.name, adapter.name, adapter.version), key,
                        index);
      }
    }
  }
}

void
RoutingTable::AddMember(std::string_view aName, std::uint64_t aKey, std::uint32_t aTarget)
{
  const auto less = [](const RoutingGroup& aGroup, std::uint64_t aOther) {
    return aGroup.key < aOther;
  };
  auto found = std::lower_bound(this->groups.begin(), this->groups.end(), aKey, less);
  if (found == this->groups.end() || found->key != aKey) {
    found = this->groups.insert(found, { std::string(aName), aKey, {}, {}, {} });
  }
  if (this->targets[aTarget].live) {
    found->targets.push_back(aTarget);
  }
}

void
RoutingTable::FinishGroups(const RoutingTableSettings& aSettings)
{
  const auto cheaper = [&](std::uint32_t aLeft, std::uint32_t aRight) {
    const RoutingTarget& left = this->targets[aLeft];
    const RoutingTarget& right = this->targets[aRight];
    return std::tie(left.pricePerSecond, left.key) < std::tie(right.pricePerSecond, right.key);
  };
  const auto before = [](const RingPoint& aLeft, const RingPoint& aRight) {
    return std::tie(aLeft.position, aLeft.target) < std::tie(aRight.position, aRight.target);
  };
  for (RoutingGroup& group : this->groups) {
    // An engine may list the same adapter twice
    std::sort(group.targets.begin(), group.targets.end(), cheaper);
    group.targets.erase(std::unique(group.targets.begin(), group.targets.end()),
                        group.targets.end());
    group.isMember.assign(this->targets.size(), 0);
    for (const std::uint32_t target : group.targets) {
      group.isMember[target] = 1;
      for (int point = 0; point < aSettings.ringPoints; ++point) {
        const auto position =
          CombineHashes(this->targets[target].key, static_cast<std::uint64_t>(point));
        group.ring.push_back({ position, target });
      }
    }
    std::sort(group.ring.begin(), group.ring.end(), before);
  }
}

Result<const RoutingGroup*>
RoutingTable::FindGroup(const RouteRequest& aRequest) const
{
  std::uint64_t key = 0;
  if (aRequest.model.empty()) {
    key = aRequest.softwareVersion.empty()
            ? ServiceKey(aRequest.service)
            : SoftwareKey(aRequest.service, aRequest.softwareVersion);
  } else {
    // The manifest defines which models can be requested, and the versions to use where they are omitted
    const auto model =
      std::find_if(this->models.begin(), this->models.end(), [&](const ManifestModel& aModel) {
        return aModel.name == aRequest.model &&
               (aRequest.version.empty() || aModel.version == aRequest.version);
      });
    if (model == this->models.end()) {
      return Error(ErrorKind::UnknownModel, fmt::format("the manifest has no model {} {}",
                                                        aRequest.model, aRequest.version));
    }
    std::string_view adapterVersion = aRequest.adapterVersion;
    if (!aRequest.adapter.empty()) {
      const auto adapter = std::find_if(
        model->adapters.begin(), model->adapters.end(),
        [&](const ManifestAdapter& aAdapter) { return aAdapter.name == aRequest.adapter; });
      const bool known =
        adapter != model->adapters.end() && !adapter->versions.empty() &&
        (adapterVersion.empty() || std::find(adapter->versions.begin(), adapter->versions.end(),
                                             adapterVersion) != adapter->versions.end());
      if (!known) {
        return Error(ErrorKind::UnknownModel,
                     fmt::format("model {} has no adapter {} {}", model->name, aRequest.adapter,
                                 adapterVersion));
      }
      adapterVersion = adapterVersion.empty() ? adapter->versions.front() : adapterVersion;
    }
    key = ModelKey(model->name, model->version, aRequest.adapter, adapterVersion);
  }

  const auto less = [](const RoutingGroup& aGroup, std::uint64_t aOther) {
    return aGroup.key < aOther;
  };
  const auto found = std::lower_bound(this->groups.begin(), this->groups.end(), key, less);
  if (found != this->groups.end() && found->key == key) {
    return &*found;
  }
  if (!aRequest.softwareVersion.empty()) {
    return Error(ErrorKind::NoEndpoint, fmt::format("no endpoint for {} runs version {}",
                                                    aRequest.service, aRequest.softwareVersion));
  }
  if (aRequest.model.empty()) {
    return Error(ErrorKind::UnknownService,
                 fmt::format("the manifest has no service {}", aRequest.service));
  }
  return Error(ErrorKind::NoEndpoint,
               fmt::format("no endpoint has loaded {} {}", aRequest.model, aRequest.adapter));
}

int
RoutingTable::RankOf(int aPriority) const
{
  const auto found = std::lower_bound(this->priorities.begin(), this->priorities.end(), aPriority);
  return std::min(static_cast<int>(found - this->priorities.begin()), kMaxRank);
}

} // namespace lagoonward
