#include "Lagoonward/Daemon/DutyService.h"

#include "Lagoonward/Core/Log.h"

namespace lagoonward {

namespace {

const Log kLog("duties");

constexpr std::string_view kLeaseName = "relay";

} // namespace

DutyService::DutyService(DutySettings aSettings, DutyFacts aFacts, DutyPorts aPorts,
                         const UsageCounter& aUsage, const Clock& aClock)
  : settings(aSettings)
  , facts(std::move(aFacts))
  , ports(std::move(aPorts))
  , clock(aClock)
  , lease(this->settings.lease, std::string(kLeaseName), this->facts.region, this->facts.self,
          this->facts.incarnation, *this->ports.leaseLog, aClock)
  , usage(MakeUsagePorts(), aUsage)
{
}

DutyService::~DutyService()
{
  this->Stop();
}

UsageReporterPorts
DutyService::MakeUsagePorts()
{
  UsageReporterPorts usagePorts;
  usagePorts.log = this->ports.usageLog;
  usagePorts.stream = "usage/" + this->facts.region;
  usagePorts.page = this->settings.lease.leasePage;
  usagePorts.report = this->ports.reportUsage;
  usagePorts.mayAct = [this] { return this->MayAct(); };
  usagePorts.onRefused = [this](Offset aFencing) { this->OnRefused(aFencing); };
  usagePorts.countsOf = [this](std::int64_t aWindow) { return this->facts.load->UsageOf(aWindow); };
  usagePorts.isDue = [this](Milliseconds aSince) { return this->facts.load->IsUsageDue(aSince); };
  usagePorts.forget = [this](std::int64_t aBefore) { this->facts.load->ForgetUsage(aBefore); };
  return usagePorts;
}

std::string_view
DutyService::Name() const
{
  return kName;
}

Result<void>
DutyService::Start()
{
  this->leaseThread = std::thread([this] { this->RunLease(); });
  this->dutyThread = std::thread([this] { this->RunDuties(); });
  return boost::outcome_v2::success();
}

void
DutyService::Drain()
{
  this->lease.Resign();
}

void
DutyService::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  this->ports.leaseLog->Interrupt();
  this->ports.usageLog->Interrupt();
  for (std::thread* thread : { &this->leaseThread, &this->dutyThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

bool
DutyService::Pause(Milliseconds aSpan)
{
  std::unique_lock lock(this->mutex);
  return !this->stopped.wait_for(lock, aSpan, [this] { return this->stopping; });
}

LeaderNote
DutyService::OwnTenure() const
{
  const LeaseStatus status = this->lease.Status();
  return status.held ? LeaderNote{ this->facts.self, status.fencing, 0 } : LeaderNote{};
}

void
DutyService::RunLease()
{
  if (!this->Pause(this->settings.standAfter)) {
    return;
  }
  for (;;) {
    const LeaderNote heard = this->facts.load->Leader();
    const bool isOther = !heard.id.empty() && heard.id != this->facts.self;
    const Milliseconds pause = this->lease.Step(this->facts.load->ElectionRank(),
                                                isOther ? Offset{ heard.fencing } : kNoOffset);
    if (!this->Pause(pause)) {
      return;
    }
  }
}

void
DutyService::RunDuties()
{
  while (this->Pause(this->settings.interval)) {
    // The load is followed by all who may lead, so that a successor knows its peak
    const RelayConfigurationPtr configuration = this->facts.inForce();
    if (configuration == nullptr) {
      continue;
    }
    this->usage.Step();
    this->SizeServices();
  }
}

std::optional<Offset>
DutyService::MayAct() const
{
  const TimePoint now = this->clock.BootNow();
  if (now < this->lease.OtherLedAt() + this->settings.quiet || now < this->refusedUntil) {
    return std::nullopt;
  }
  const auto grant = this->lease.Authorize(OrderKind::StartHost, true);
  if (!grant) {
    return std::nullopt;
  }
  // Offsets count from zero, fencing numbers from one
  return grant.value().fencing + 1;
}

void
DutyService::OnRefused(Offset aFencing)
{
  kLog.Event(LogLevel::Warning, "refused_as_stale", { { "fencing", aFencing } });
  this->refusedUntil = this->clock.BootNow() + this->settings.refusedPause;
  this->lease.Abandon(aFencing - 1);
}

std::map<std::string, DomainCount>
DutyService::CountLive(const std::string& aService) const
{
  std::map<std::string, DomainCount> live;
  const FleetSnapshotPtr fleet = this->facts.fleet->Get();
  for (const Endpoint& endpoint : fleet->endpoints) {
    if (endpoint.name != aService || endpoint.state != EndpointState::Live) {
      continue;
    }
    DomainCount& there = live[endpoint.failureDomain];
    ++(endpoint.reclaimable ? there.reclaimable : there.ordinary);
  }
  return live;
}

void
DutyService::SizeServices()
{
  const RelayConfigurationPtr configuration = this->facts.inForce();
  for (const RelayServiceFacts& service : configuration->services) {
    if (service.scaling) {
      this->SizeService(service);
    }
  }
}

double
DutyService::SpeedOf(const std::string& aService) const
{
  for (const SpeedReport& report : this->facts.router->SpeedsInUse()) {
    if (report.machineClass == aService) {
      return 1 / report.prefillSecondsPerToken;
    }
  }
  return 0;
}

void
DutyService::SizeService(const RelayServiceFacts& aService)
{
  auto place = this->sizings.find(aService.name);
  if (place == this->sizings.end()) {
    place =
      this->sizings.emplace(aService.name, DemandSizing(this->settings.sizing, this->clock)).first;
  }
  DemandSizing& sizing = place->second;
  const EngineWork rate = this->facts.load->RateOf(aService.name);
  // Until the endpoints' speed is known, the fleet found counts as needed
  if (const auto load = this->facts.router->EndpointSeconds(aService.name, rate)) {
    sizing.OnLoad(*load);
  }
  const SizingTerms terms{ aService.scaling->minimum, aService.scaling->maximum,
                           aService.scaling->bootTime, aService.scaling->prices };
  const auto live = this->CountLive(aService.name);
  for (const SizingOrder& order : sizing.Plan(terms, live)) {
    const auto fencing = this->MayAct();
    if (!fencing) {
      return;
    }
    const auto sentOrder = this->ports.orderEndpoints(aService.name, order, *fencing);
    kLog.Event("order", { { "service", aService.name },
                          { "failure_domain", order.failureDomain },
                          { "reclaimable", order.reclaimable },
                          { "count", order.count },
                          { "need", sizing.Need() },
                          { "prompt_tokens_per_s", this->SpeedOf(aService.name) },
                          { "fencing", *fencing },
                          { "outcome",
                            sentOrder ? "accepted" : GetErrorRule(sentOrder.error().kind).name } });
    if (sentOrder) {
      sizing.OnAccepted(order);
    } else if (sentOrder.error().kind == ErrorKind::StaleFencing) {
      this->OnRefused(*fencing);
      return;
    } else if (sentOrder.error().kind == ErrorKind::NoEndpoint) {
      sizing.OnUnavailable(order);
    }
  }
}

} // namespace lagoonward
