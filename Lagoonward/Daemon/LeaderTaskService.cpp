#include "Lagoonward/Daemon/LeaderTaskService.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Core/ProcessEnd.h"

namespace lagoonward {

namespace {

const Log kLog("duties");

constexpr std::string_view kLeaseName = "relay";

} // namespace

LeaderTaskService::LeaderTaskService(LeaderTaskSettings aSettings, LeaderTaskInputs aInputs,
                                     LeaderTaskPorts aPorts, const UsageCounter& aUsage,
                                     const Clock& aClock)
  : settings(aSettings)
  , inputs(std::move(aInputs))
  , ports(std::move(aPorts))
  , clock(aClock)
  , lease(this->settings.lease, std::string(kLeaseName), this->inputs.region, this->inputs.self,
          this->inputs.incarnation, *this->ports.leaseLog, aClock)
  , usage(MakeUsagePorts(), aUsage)
{
}

LeaderTaskService::~LeaderTaskService()
{
  this->Stop();
}

UsageReporterPorts
LeaderTaskService::MakeUsagePorts()
{
  UsageReporterPorts reporterPorts;
  reporterPorts.log = this->ports.usageLog;
  reporterPorts.stream = "usage/" + this->inputs.region;
  reporterPorts.page = this->settings.lease.leasePage;
  reporterPorts.report = this->ports.reportUsage;
  reporterPorts.fencingIfLeader = [this] { return this->AuthorizedFencing(); };
  reporterPorts.onRefused = [this](Offset aFencing) { this->OnStaleFencing(aFencing); };
  reporterPorts.countsOf = [this](std::int64_t aWindow) {
    return this->inputs.load->UsageInWindow(aWindow);
  };
  reporterPorts.isDue = [this](Milliseconds aSince) {
    return this->inputs.load->IsUsageReportable(aSince);
  };
  reporterPorts.logEpoch = this->inputs.logEpoch;
  reporterPorts.expireBefore = [this](std::int64_t aBefore) {
    this->inputs.load->ExpireUsage(aBefore);
  };
  return reporterPorts;
}

std::string_view
LeaderTaskService::Name() const
{
  return kName;
}

Result<void>
LeaderTaskService::Start()
{
  this->leaseThread = std::thread([this] {
    NameThread("lease");
    this->RunLease();
  });
  this->taskThread = std::thread([this] {
    NameThread("leader-tasks");
    this->RunTasks();
  });
  return boost::outcome_v2::success();
}

void
LeaderTaskService::Drain()
{
  this->lease.Resign();
}

void
LeaderTaskService::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  this->ports.leaseLog->Interrupt();
  this->ports.usageLog->Interrupt();
  for (std::thread* thread : { &this->leaseThread, &this->taskThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

bool
LeaderTaskService::Pause(Milliseconds aSpan)
{
  std::unique_lock lock(this->mutex);
  return !this->stopped.wait_for(lock, aSpan, [this] { return this->stopping; });
}

LeaderAnnouncement
LeaderTaskService::OwnAnnouncement() const
{
  const LeaseStatus status = this->lease.Status();
  return status.held ? LeaderAnnouncement{ this->inputs.self, status.fencing, 0 }
                     : LeaderAnnouncement{};
}

void
LeaderTaskService::RunLease()
{
  if (!this->Pause(this->settings.electionDelay)) {
    return;
  }
  for (;;) {
    const LeaderAnnouncement announced = this->inputs.load->Leader();
    const bool isOtherLeader = !announced.id.empty() && announced.id != this->inputs.self;
    const Milliseconds pause = this->lease.Step(
      this->inputs.load->ElectionRank(), isOtherLeader ? Offset{ announced.fencing } : kNoOffset,
      this->inputs.logEpoch());
    if (!this->Pause(pause)) {
      return;
    }
  }
}

void
LeaderTaskService::RunTasks()
{
  while (this->Pause(this->settings.interval)) {
    // Every candidate tracks the load, not only the leader, so that a successor knows its peak
    const RelayConfigurationPtr configuration = this->inputs.activeConfiguration();
    if (configuration == nullptr) {
      continue;
    }
    this->usage.Step();
    this->ScaleServices();
  }
}

std::optional<Offset>
LeaderTaskService::AuthorizedFencing() const
{
  const TimePoint now = this->clock.BootNow();
  if (now < this->lease.OtherLeaderSeenAt() + this->settings.quietPeriod ||
      now < this->ordersPausedUntil) {
    return std::nullopt;
  }
  const auto grant = this->lease.Authorize(OrderKind::StartHost, true);
  if (!grant) {
    return std::nullopt;
  }
  // Offsets start at zero, fencing numbers at one
  return grant.value().fencing + 1;
}

void
LeaderTaskService::OnStaleFencing(Offset aFencing)
{
  kLog.Event(LogLevel::Warning, "refused_as_stale", { { "fencing", aFencing } });
  this->ordersPausedUntil = this->clock.BootNow() + this->settings.staleFencingPause;
  this->lease.Abandon(aFencing - 1);
}

std::map<std::string, DomainCount>
LeaderTaskService::CountLive(const std::string& aService) const
{
  std::map<std::string, DomainCount> live;
  const FleetSnapshotPtr fleet = this->inputs.fleet->Get();
  for (const Endpoint& endpoint : fleet->endpoints) {
    if (endpoint.name != aService || endpoint.state != EndpointState::Live) {
      continue;
    }
    DomainCount& counts = live[endpoint.failureDomain];
    ++(endpoint.reclaimable ? counts.reclaimable : counts.ordinary);
  }
  return live;
}

void
LeaderTaskService::ScaleServices()
{
  const RelayConfigurationPtr configuration = this->inputs.activeConfiguration();
  for (const RelayServiceConfiguration& service : configuration->services) {
    if (service.scaling) {
      this->ScaleService(service);
    }
  }
}

double
LeaderTaskService::PrefillRate(const std::string& aService) const
{
  for (const SpeedReport& report : this->inputs.router->SpeedsInUse()) {
    if (report.machineClass == aService) {
      return 1 / report.prefillSecondsPerToken;
    }
  }
  return 0;
}

void
LeaderTaskService::ScaleService(const RelayServiceConfiguration& aService)
{
  auto known = this->sizings.find(aService.name);
  if (known == this->sizings.end()) {
    known =
      this->sizings.emplace(aService.name, DemandSizing(this->settings.sizing, this->clock)).first;
  }
  DemandSizing& sizing = known->second;
  const EngineWork rate = this->inputs.load->RateOf(aService.name);
  // Until the endpoints' speed is known, the existing fleet counts as the need
  if (const auto load = this->inputs.router->EndpointSeconds(aService.name, rate)) {
    sizing.OnLoad(*load);
  }
  const SizingConstraints terms{ aService.scaling->minimum, aService.scaling->maximum,
                                 aService.scaling->bootTime, aService.scaling->prices };
  const auto live = this->CountLive(aService.name);
  for (const SizingOrder& order : sizing.Plan(terms, live)) {
    const auto fencing = this->AuthorizedFencing();
    if (!fencing) {
      return;
    }
    const auto outcome = this->ports.orderEndpoints(aService.name, order, *fencing);
    kLog.Event("order",
               { { "service", aService.name },
                 { "failure_domain", order.failureDomain },
                 { "reclaimable", order.reclaimable },
                 { "count", order.count },
                 { "need", sizing.RequiredEndpoints() },
                 { "prompt_tokens_per_s", this->PrefillRate(aService.name) },
                 { "fencing", *fencing },
                 { "outcome", outcome ? "accepted" : GetErrorRule(outcome.error().kind).name } });
    if (outcome) {
      sizing.OnAccepted(order);
    } else if (outcome.error().kind == ErrorKind::StaleFencing) {
      this->OnStaleFencing(*fencing);
      return;
    } else if (outcome.error().kind == ErrorKind::NoEndpoint) {
      sizing.OnUnavailable(order);
    }
  }
}

} // namespace lagoonward
