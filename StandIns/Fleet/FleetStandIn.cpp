#include "StandIns/Fleet/FleetStandIn.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

json
ToJson(EngineStandIn& aEngine)
{
  const auto counters = aEngine.Counters();
  return { { "id", aEngine.Settings().id },
           { "address", aEngine.Address().ToString() },
           { "failure_domain", aEngine.Settings().failureDomain },
           { "running", aEngine.Running() },
           { "accepted", counters.accepted },
           { "refused", counters.refused },
           { "finished", counters.finished },
           { "cancelled", counters.cancelled },
           { "reattached", counters.reattached },
           { "diverged_resumes", counters.divergedResumes },
           { "prefill_computed", counters.prefillComputed },
           { "prefill_cached", counters.prefillCached },
           { "generated", counters.generated },
           { "recomputed", counters.recomputed } };
}

} // namespace

FleetStandIn::FleetStandIn(const FleetSettings& aSettings, Scheduler& aScheduler)
  : settings(aSettings)
  , scheduler(aScheduler)
{
  CloudStandIn::HostCallbacks callbacks;
  callbacks.start = [this](CloudHost& aHost) { return this->Start(aHost); };
  callbacks.remove = [this](const CloudHost& aHost) { this->Remove(aHost); };
  callbacks.describe = [this] { return this->Describe(); };
  this->platform = std::make_unique<PlatformStandIn>(aSettings.platform, aSettings.listen,
                                                     aScheduler, std::move(callbacks));
  for (int index = 0; index < aSettings.engines; ++index) {
    this->StartInitial("engine", {}, index);
  }
  for (const auto& name : aSettings.serviceNames) {
    for (int index = 0; index < aSettings.servicesPerName; ++index) {
      this->StartInitial("service", name, index);
    }
  }
}

FleetStandIn::~FleetStandIn()
{
  this->Stop();
}

void
FleetStandIn::Stop()
{
  this->platform->Stop();
  const std::lock_guard lock(this->mutex);
  for (const auto& engine : this->engines) {
    engine->Terminate();
  }
  for (const auto& service : this->services) {
    service->Terminate();
  }
}

void
FleetStandIn::StartInitial(const std::string& aKind, const std::string& aName, int aIndex)
{
  const auto& cloud = this->settings.platform.cloud;
  const auto place = static_cast<std::size_t>(aIndex);
  CloudHost host;
  host.kind = aKind;
  host.name = aName;
  host.id =
    aName.empty() ? fmt::format("engine-{}", aIndex + 1) : fmt::format("{}-{}", aName, aIndex + 1);
  host.failureDomain = cloud.failureDomains[place % cloud.failureDomains.size()];
  host.region = cloud.region;
  host.machineClass = cloud.machineClasses.front();
  host.reclaimable = this->settings.reclaimable && aKind == "engine";
  if (this->Start(host)) {
    this->platform->Cloud().Register(host);
  }
}

bool
FleetStandIn::Start(CloudHost& aHost)
{
  const ListenAddress listen{ this->settings.listen.address, 0 };
  const std::lock_guard lock(this->mutex);
  if (aHost.kind == "engine") {
    auto engine = this->settings.engine;
    engine.id = aHost.id;
    engine.failureDomain = aHost.failureDomain;
    // Hosts that the cloud starts later have no models until they receive load orders
    if (!aHost.id.starts_with("engine-")) {
      engine.models.clear();
    }
    engine.weightStoreUrl = "http://" + this->platform->Address().ToString();
    this->engines.push_back(
      std::make_unique<EngineStandIn>(engine, listen, this->scheduler, this->ledger));
    aHost.port = this->engines.back()->Address().port;
  } else if (aHost.kind == "service") {
    auto service = this->settings.service;
    service.id = aHost.id;
    service.name = aHost.name.empty() ? this->settings.serviceNames.front() : aHost.name;
    service.failureDomain = aHost.failureDomain;
    aHost.name = service.name;
    this->services.push_back(std::make_unique<ServiceStandIn>(service, listen, this->scheduler));
    aHost.port = this->services.back()->Address().port;
  } else {
    return false;
  }
  aHost.address = listen.address;
  return true;
}

void
FleetStandIn::Remove(const CloudHost& aHost)
{
  const std::lock_guard lock(this->mutex);
  for (const auto& engine : this->engines) {
    if (engine->Settings().id == aHost.id) {
      engine->Terminate();
    }
  }
  for (const auto& service : this->services) {
    if (service->Settings().id == aHost.id) {
      service->Terminate();
    }
  }
}

std::string
FleetStandIn::Describe()
{
  const std::lock_guard lock(this->mutex);
  json engineList = json::array();
  std::int64_t recomputed = 0;
  std::int64_t generated = 0;
  std::int64_t prefill = 0;
  for (const auto& engine : this->engines) {
    const auto counters = engine->Counters();
    recomputed += counters.recomputed;
    generated += counters.generated;
    prefill += counters.prefillComputed;
    engineList.push_back(ToJson(*engine));
  }
  json serviceList = json::array();
  std::map<std::string, std::int64_t> executions;
  for (const auto& service : this->services) {
    serviceList.push_back({ { "id", service->Settings().id },
                            { "name", service->Settings().name },
                            { "address", service->Address().ToString() },
                            { "failure_domain", service->Settings().failureDomain } });
    for (const auto& [key, count] : service->Executions()) {
      executions[key] += count;
    }
  }
  return json{
    { "platform", this->platform->Address().ToString() },
    { "engines", engineList },
    { "services", serviceList },
    { "executions", executions },
    { "recomputed", recomputed },
    { "generated", generated },
    { "prefill_computed", prefill }
  }.dump();
}

} // namespace lagoonward::standins
