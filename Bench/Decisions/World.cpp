#include "Bench/Decisions/World.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward::bench {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr std::size_t kMaximumSamples = 64;
/// Seconds until the host list reflects the termination of a host.
constexpr double kHostListLag = 2;

TimePoint::duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

World::World(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed)
  : deployment(aDeployment)
  , scenario(aScenario)
  , random(CombineHashes(aSeed, 2))
  , start(clock.Now())
{
  for (const EngineSpec& spec : aDeployment.engines) {
    this->AddEngine(spec);
  }
  this->AddServices();
}

void
World::AddEngine(const EngineSpec& aSpec)
{
  HostState host;
  host.id = aSpec.id;
  host.failureDomain = aSpec.failureDomain;
  host.pricePerHour = aSpec.pricePerHour * this->DomainPriceFactor(aSpec.failureDomain);
  host.engine = std::make_unique<EngineFake>(aSpec, this->computed);
  this->hosts.push_back(std::move(host));
}

void
World::AddServices()
{
  const auto& manifest = this->deployment.manifest;
  for (int index = 0; index < this->deployment.serviceHosts; ++index) {
    HostState host;
    host.id = fmt::format("service-{}", index + 1);
    const auto domain = static_cast<std::size_t>(index) % manifest.failureDomains.size();
    host.failureDomain = manifest.failureDomains[domain];
    host.service = manifest.services.front().name;
    this->hosts.push_back(std::move(host));
  }
}

double
World::Now() const
{
  return std::chrono::duration<double>(this->clock.Now() - this->start).count();
}

void
World::Schedule(double aDelay, EventKind aKind, std::uint32_t aSubject, std::uint32_t aExtra)
{
  this->events.push({ this->Now() + aDelay, this->nextSequence++, aKind, aSubject, aExtra });
}

std::optional<Event>
World::Next()
{
  if (this->events.empty()) {
    return std::nullopt;
  }
  const Event event = this->events.top();
  this->events.pop();
  const auto target = this->start + ToDuration(event.at);
  this->clock.Advance(std::max(target - this->clock.Now(), TimePoint::duration::zero()));
  return event;
}

void
World::StartEngineStep(std::uint32_t aHost)
{
  HostState& host = this->hosts[aHost];
  if (host.terminated || !host.engine) {
    return;
  }
  const double seconds = host.engine->BeginStep();
  if (seconds > 0) {
    this->cost += seconds * host.pricePerHour / kSecondsPerHour;
    this->Schedule(seconds, EventKind::StepEnd, aHost);
  }
}

void
World::TakeSample()
{
  LoadSample sample;
  sample.at = this->Now();
  for (const HostState& host : this->hosts) {
    const bool readable = host.engine && !host.terminated;
    sample.loads.emplace_back(readable ? host.engine->Waiting() : 0,
                              readable ? host.engine->Running() : 0);
  }
  this->samples.push_back(std::move(sample));
  if (this->samples.size() > kMaximumSamples) {
    this->samples.pop_front();
  }
}

const LoadSample*
World::VisibleSample() const
{
  const LoadSample* visible = nullptr;
  for (const LoadSample& sample : this->samples) {
    if (sample.at <= this->Now() - this->scenario.reportLag) {
      visible = &sample;
    }
  }
  return visible;
}

FleetView
World::MakeView() const
{
  FleetSnapshot fleet;
  FleetView view;
  const LoadSample* sample = this->VisibleSample();
  const ManifestModel& model = this->deployment.manifest.models.front();
  for (std::uint32_t index = 0; index < this->hosts.size(); ++index) {
    const HostState& host = this->hosts[index];
    if (host.delisted) {
      continue;
    }
    Endpoint endpoint;
    endpoint.id = host.id;
    endpoint.failureDomain = host.failureDomain;
    endpoint.pricePerHour = host.pricePerHour;
    endpoint.state = host.leaving ? EndpointState::Leaving : EndpointState::Live;
    if (host.engine) {
      endpoint.machineClass = host.engine->Spec().machineClass;
      EndpointLoad load;
      load.asOf = this->clock.WallNow();
      load.models = { { model.name, model.version, {} } };
      if (sample != nullptr && index < sample->loads.size()) {
        load.waiting = sample->loads[index].first;
        load.running = sample->loads[index].second;
        load.asOf -= std::chrono::duration_cast<WallTime::duration>(
          std::chrono::duration<double>(this->Now() - sample->at));
      }
      endpoint.load = load;
    } else {
      endpoint.kind = EndpointKind::Service;
      endpoint.name = host.service;
    }
    fleet.endpoints.push_back(std::move(endpoint));
    view.hostOfTarget.push_back(index);
  }
  view.table = RoutingTable::Build(fleet, this->deployment.manifest, this->clock);
  return view;
}

void
World::CollectCacheUpdates()
{
  for (std::uint32_t index = 0; index < this->hosts.size(); ++index) {
    HostState& host = this->hosts[index];
    if (!host.engine || host.terminated) {
      continue;
    }
    CacheUpdate update{ index, host.engine->TakeStored(), host.engine->TakeEvicted(), false };
    if (update.stored.empty() && update.evicted.empty()) {
      continue;
    }
    if (this->random.Unit() < this->scenario.gapChance) {
      update = { index, {}, {}, true };
    }
    this->cacheUpdates.push_back(std::move(update));
    this->Schedule(this->scenario.cacheLag, EventKind::CacheUpdate,
                   static_cast<std::uint32_t>(this->cacheUpdates.size() - 1));
  }
}

void
World::GiveNotice(const ReclaimEvent& aReclaim)
{
  for (std::uint32_t index = 0; index < this->hosts.size(); ++index) {
    HostState& host = this->hosts[index];
    if (host.failureDomain == aReclaim.failureDomain && host.engine && !host.reclaimNoticed) {
      host.reclaimNoticed = true;
      host.terminatesAt = this->Now() + aReclaim.grace;
      this->Schedule(aReclaim.grace, EventKind::HostTerminated, index);
      this->Schedule(aReclaim.grace + kHostListLag, EventKind::HostDelisted, index);
    }
  }
}

double
World::DomainPriceFactor(std::string_view aDomain) const
{
  double factor = 1;
  for (const PriceEvent& change : this->priceChanges) {
    factor = change.failureDomain == aDomain ? change.factor : factor;
  }
  return factor;
}

void
World::ChangePrice(const PriceEvent& aChange)
{
  this->priceChanges.push_back(aChange);
  for (HostState& host : this->hosts) {
    if (host.engine && host.failureDomain == aChange.failureDomain) {
      host.pricePerHour = host.engine->Spec().pricePerHour * aChange.factor;
    }
  }
}

void
World::AddReplacements(const ReclaimEvent& aReclaim)
{
  // Replacements copy the specification and price of engines in the other domains
  std::vector<EngineSpec> lost;
  std::vector<EngineSpec> others;
  for (const HostState& host : this->hosts) {
    if (host.engine && host.failureDomain == aReclaim.failureDomain) {
      lost.push_back(host.engine->Spec());
    } else if (host.engine && !host.reclaimNoticed) {
      others.push_back(host.engine->Spec());
    }
  }
  for (std::size_t index = 0; index < lost.size() && !others.empty(); ++index) {
    EngineSpec spec = others[index % others.size()];
    spec.id = fmt::format("{}-replacement", lost[index].id);
    this->AddEngine(spec);
  }
}

} // namespace lagoonward::bench
