#include "StandIns/Options.h"

#include "Lagoonward/Configuration/ManifestReader.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace lagoonward::standins {

namespace {

namespace po = boost::program_options;

/// Option that is bound to aTarget and has its current value as default.
template<typename Value>
po::typed_value<Value>*
Bind(Value& aTarget)
{
  return po::value<Value>(&aTarget)->default_value(aTarget);
}

/// The manifest's models and adapters, with every version of each adapter.
std::vector<EngineModel>
ModelsOf(const Manifest& aManifest)
{
  std::vector<EngineModel> models;
  for (const auto& wanted : aManifest.models) {
    EngineModel model{ wanted.name, wanted.version, {} };
    for (const auto& adapter : wanted.adapters) {
      for (const auto& version : adapter.versions) {
        model.adapters.push_back({ adapter.name, version });
      }
    }
    models.push_back(std::move(model));
  }
  return models;
}

} // namespace

Manifest
ReadManifestFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    throw std::invalid_argument("cannot read manifest file " + aFile);
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  auto reading = ReadManifest(text);
  if (!reading.manifest) {
    const auto& fault = reading.faults.Kept().front();
    throw std::invalid_argument(aFile + ": " + fault.pointer + ": " + fault.message);
  }
  return std::move(*reading.manifest);
}

void
EngineOptions::Describe(po::options_description& aDescription)
{
  auto& target = this->settings;
  aDescription.add_options()("model", po::value(&this->models)->composing(),
                             "NAME@VERSION[+ADAPTER@VERSION]..., held from the start; repeatable")(
    "role", Bind(target.role), "role from the start")("fenced", po::bool_switch(&target.fenced),
                                                      "refuse orders with an old fencing number")(
    "max-batch", Bind(target.maxBatch), "streams that run at once")(
    "step-base-us", Bind(this->stepBaseUs), "length of a step, microseconds")(
    "step-per-stream-us", Bind(this->stepPerStreamUs), "what each running stream adds to it")(
    "prefill-tokens-per-second", Bind(target.prefillTokensPerSecond), "speed of reading prompts")(
    "prefill-chunk", Bind(target.prefillChunk), "prompt tokens read in one step")(
    "kv-blocks", Bind(target.kvBlocks), "KV memory, blocks of 16 tokens")(
    "kv-bytes-per-second", Bind(target.kvBytesPerSecond), "speed of a KV import")(
    "load-lag-ms", Bind(this->loadLagMs), "age that the load report may have")(
    "cache-event-delay-ms", Bind(this->cacheEventDelayMs), "cache events are told so late")(
    "cache-events-kept", Bind(target.maxCacheEvents), "older cache events become a gap")(
    "model-load-ms", Bind(this->modelLoadMs), "length of a load order")(
    "orphan-ms", Bind(this->orphanMs), "a stream that nobody reads is cancelled after this");
}

EngineSettings
EngineOptions::Settings() const
{
  auto result = this->settings;
  for (const auto& model : this->models) {
    result.models.push_back(EngineModel::Parse(model));
  }
  result.stepBase = std::chrono::microseconds(this->stepBaseUs);
  result.stepPerStream = std::chrono::microseconds(this->stepPerStreamUs);
  result.loadLag = std::chrono::milliseconds(this->loadLagMs);
  result.cacheEventDelay = std::chrono::milliseconds(this->cacheEventDelayMs);
  result.modelLoadTime = std::chrono::milliseconds(this->modelLoadMs);
  result.orphanTimeout = std::chrono::milliseconds(this->orphanMs);
  return result;
}

void
PlatformOptions::Describe(po::options_description& aDescription)
{
  auto& target = this->settings;
  aDescription.add_options()("region", Bind(target.cloud.region), "region of hosts started here")(
    "domain", po::value(&this->failureDomains)->composing(), "failure domain; repeatable")(
    "machine-class", po::value(&this->machineClasses)->composing(), "machine class; repeatable")(
    "appends-per-second", Bind(target.log.appendsPerSecond), "log: more is answered 429")(
    "records-kept", Bind(target.log.maxRecords), "log: records kept per stream")(
    "retention-ms", Bind(this->retentionMs),
    "log: older records go")("host-list-lag-ms", Bind(this->hostListLagMs), "age of the host list")(
    "start-ms", Bind(this->startMs), "cloud: time until a host listens")(
    "notice-delay-ms", Bind(this->noticeDelayMs), "cloud: notices come so late")(
    "weight-reads-per-second", Bind(target.weights.readsPerSecond), "weight store: more is 429")(
    "weight-read-ms", Bind(this->weightReadMs), "weight store: length of a read");
}

PlatformSettings
PlatformOptions::Settings() const
{
  auto result = this->settings;
  if (!this->failureDomains.empty()) {
    result.cloud.failureDomains = this->failureDomains;
  }
  if (!this->machineClasses.empty()) {
    result.cloud.machineClasses = this->machineClasses;
  }
  result.log.retention = std::chrono::milliseconds(this->retentionMs);
  result.cloud.hostListLag = std::chrono::milliseconds(this->hostListLagMs);
  result.cloud.startTime = std::chrono::milliseconds(this->startMs);
  result.cloud.noticeDelay = std::chrono::milliseconds(this->noticeDelayMs);
  result.weights.readTime = std::chrono::milliseconds(this->weightReadMs);
  return result;
}

void
FleetOptions::Describe(po::options_description& aDescription)
{
  aDescription.add_options()("manifest", po::value(&this->manifestFile),
                             "take models, services, failure domains, machine classes from it")(
    "engines", Bind(this->engines), "engines, spread over the failure domains")(
    "services-per-name", Bind(this->servicesPerName), "hosts of each service, spread likewise")(
    "service-work-ms", Bind(this->serviceWorkMs), "time that a service call takes")(
    "on-demand", po::bool_switch(&this->onDemand), "engines are not reclaimable hosts");
  this->engine.Describe(aDescription);
  this->platform.Describe(aDescription);
}

FleetSettings
FleetOptions::Settings(const ListenAddress& aListen) const
{
  FleetSettings result;
  result.listen = aListen;
  result.engine = this->engine.Settings();
  result.platform = this->platform.Settings();
  result.service.workTime = std::chrono::milliseconds(this->serviceWorkMs);
  result.engines = this->engines;
  result.servicesPerName = this->servicesPerName;
  result.reclaimable = !this->onDemand;
  if (this->manifestFile.empty()) {
    return result;
  }
  const auto manifest = ReadManifestFile(this->manifestFile);
  auto& cloud = result.platform.cloud;
  cloud.region = manifest.region;
  cloud.failureDomains = manifest.failureDomains;
  if (!manifest.machineClasses.empty()) {
    cloud.machineClasses = manifest.machineClasses;
  }
  result.engine.models = ModelsOf(manifest);
  result.engine.fenced = manifest.ordersFenced;
  result.serviceNames.clear();
  for (const auto& service : manifest.services) {
    result.serviceNames.push_back(service.name);
  }
  return result;
}

} // namespace lagoonward::standins
