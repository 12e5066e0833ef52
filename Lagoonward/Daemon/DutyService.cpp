#include "Lagoonward/Daemon/DutyService.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/RelayRanks.h"

#include <cereal/types/map.hpp>
#include <cereal/types/utility.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

const Log kLog("duties");

/// The message; numbers above RequestType::FirstForeign are this folder's.
constexpr auto kLoadReport =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 3);

constexpr std::string_view kLeaseName = "relay";
constexpr Milliseconds kUsageReadWait{ 0 };
constexpr std::int64_t kWindowsKept = 6;

/// What a daemon tells those who may lead. Usage and work are cumulative.
struct LoadReport
{
  std::uint64_t run = 0;
  bool wantsSum = false; ///< Whether the answer is to be what all others have in flight.
  InFlightCounts inFlight;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> usage;
  std::map<std::string, EngineWork> work;
  std::vector<SpeedReport> speeds; ///< As it has learned them.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run, this->wantsSum, this->inFlight, this->usage, this->work, this->speeds);
  }
};

/// The answer: what all others have in flight, and the speeds that the receiver goes by.
struct LoadSum
{
  std::uint64_t run = 0; ///< The receiver's.
  InFlightCounts inFlight;
  std::vector<SpeedReport> speeds;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run, this->inFlight, this->speeds);
  }
};

} // namespace

DutyService::DutyService(DutySettings aSettings, DutyFacts aFacts, DutyPorts aPorts,
                         UsageCounter& aUsage, MembershipService& aMembership, const Clock& aClock)
  : settings(aSettings)
  , facts(std::move(aFacts))
  , ports(std::move(aPorts))
  , usage(aUsage)
  , membership(aMembership)
  , clock(aClock)
  , run(HashBytes(this->facts.incarnation))
  , usageStream("usage/" + this->facts.region)
  , lease(this->settings.lease, std::string(kLeaseName), this->facts.region, this->facts.self,
          this->facts.incarnation, *this->ports.leaseLog, aClock)
  , usageBook(this->settings.usage, aClock)
  , demandBook(this->settings.usage.silence, aClock)
  , inFlight(this->settings.usage.silence, aClock)
{
  this->membership.Transport().OnRequest(
    kLoadReport, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->TakeReport(aBytes));
    });
}

DutyService::~DutyService()
{
  this->Stop();
}

std::string_view
DutyService::Name() const
{
  return kName;
}

Result<void>
DutyService::Start()
{
  this->membership.Loop().Run([this] {
    this->membership.Loop().Every(this->settings.reportInterval, [this] { this->SendReports(); });
  });
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

void
DutyService::OnSent(const std::string& aService, const EngineWork& aWork)
{
  const std::lock_guard lock(this->mutex);
  this->sent[aService] += aWork;
}

std::vector<std::string>
DutyService::Ranked() const
{
  std::vector<std::string> daemons{ this->facts.self };
  const PeerViewPtr view = this->membership.Peers();
  for (const Peer& peer : view->peers) {
    if (peer.info.region == this->facts.region && peer.state == PeerState::Alive) {
      daemons.push_back(peer.info.id);
    }
  }
  SortByRank(daemons, this->facts.region);
  return daemons;
}

int
DutyService::OwnRank() const
{
  const std::vector<std::string> daemons = this->Ranked();
  return static_cast<int>(std::find(daemons.begin(), daemons.end(), this->facts.self) -
                          daemons.begin());
}

void
DutyService::SendReports()
{
  LoadReport report;
  report.run = this->run;
  const UsageByWindow own = this->usage.Read();
  for (const auto& [window, counts] : own) {
    report.usage[window] = { counts.begin(), counts.end() };
  }
  {
    const std::lock_guard lock(this->mutex);
    report.work = { this->sent.begin(), this->sent.end() };
  }
  report.speeds = this->facts.router->LearnedSpeeds();
  for (const EndpointCount& count : this->facts.router->OwnInFlight()) {
    report.inFlight.emplace_back(count.endpointKey, count.count);
  }

  // Those who stand for election, and whoever leads should it be none of them
  std::vector<std::string> receivers = this->Ranked();
  const auto candidates = static_cast<std::size_t>(this->settings.lease.lease.candidates);
  receivers.resize(std::min(receivers.size(), candidates));
  const std::string leader = this->lease.Status().holder;
  if (!leader.empty() && std::find(receivers.begin(), receivers.end(), leader) == receivers.end()) {
    receivers.push_back(leader);
  }
  // The first of them tells what all have in flight
  report.wantsSum = true;
  for (const std::string& receiver : receivers) {
    const std::string bytes = EncodePeerMessage(report);
    const auto take = [this, isSum = report.wantsSum](const Result<std::string>& aAnswer) {
      if (isSum && aAnswer) {
        this->TakeSum(aAnswer.value());
      }
    };
    const auto address = this->membership.AddressOf(ToPeerKey(receiver));
    if (receiver == this->facts.self) {
      take(this->TakeReport(bytes));
    } else if (address) {
      this->membership.Transport().Request(*address, kLoadReport, bytes,
                                           this->settings.reportTimeout, take);
    }
    report.wantsSum = false;
  }
  if (std::find(receivers.begin(), receivers.end(), this->facts.self) == receivers.end()) {
    static_cast<void>(this->TakeReport(EncodePeerMessage(report)));
  }
}

void
DutyService::TakeSum(std::string_view aBytes)
{
  const auto sum = DecodePeerMessage<LoadSum>(aBytes);
  if (!sum) {
    kLog.Warning("A daemon sent a malformed sum of requests in flight.");
    return;
  }
  std::vector<EndpointCount> counts;
  for (const auto& [key, count] : sum->inFlight) {
    counts.push_back({ key, count });
  }
  this->facts.router->OnPeersInFlight(counts);
  if (sum->run != this->run) {
    this->facts.router->OnToldSpeeds(sum->run, sum->speeds);
  }
}

std::string
DutyService::TakeReport(std::string_view aBytes)
{
  const auto report = DecodePeerMessage<LoadReport>(aBytes);
  if (!report) {
    kLog.Warning("A daemon sent a malformed load report.");
    return {};
  }
  UsageByWindow counts;
  for (const auto& [window, accounts] : report->usage) {
    counts[window] = { accounts.begin(), accounts.end() };
  }
  this->Take(report->run, counts, { report->work.begin(), report->work.end() });
  if (report->run != this->run) {
    this->facts.router->OnToldSpeeds(report->run, report->speeds);
  }
  LoadSum sum;
  sum.run = this->run;
  sum.speeds = this->facts.router->SpeedsInUse();
  const std::lock_guard lock(this->mutex);
  this->inFlight.OnCounts(report->run, report->inFlight);
  if (!report->wantsSum) {
    return {};
  }
  sum.inFlight = this->inFlight.SumOfOthers(report->run);
  return EncodePeerMessage(sum);
}

void
DutyService::Take(std::uint64_t aRun, const UsageByWindow& aUsage, const WorkByService& aTotals)
{
  const std::lock_guard lock(this->mutex);
  this->usageBook.OnCounts(aRun, aUsage);
  this->demandBook.OnTotals(aRun, aTotals);
}

void
DutyService::RunLease()
{
  for (;;) {
    const Milliseconds pause = this->lease.Step(this->OwnRank());
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
    this->ReportUsage();
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

bool
DutyService::ReadUsageLog()
{
  for (;;) {
    const auto page = this->ports.usageLog->Read(this->usageStream, this->ledger.NextOffset(),
                                                 this->settings.lease.leasePage, kUsageReadWait);
    if (!page) {
      return false;
    }
    this->ledger.SkipTo(page.value().start);
    for (const LogRecord& record : page.value().records) {
      this->ledger.Apply(record.offset, record.data);
    }
    if (page.value().records.empty()) {
      return true;
    }
  }
}

bool
DutyService::WriteDownUsage(std::int64_t aWindow)
{
  if (!this->ReadUsageLog()) {
    return false;
  }
  if (this->ledger.Find(aWindow) != nullptr) {
    return true;
  }
  UsageRecord record;
  record.window = aWindow;
  {
    const std::lock_guard lock(this->mutex);
    record.counts = this->usageBook.TotalOf(aWindow);
  }
  // What counts is what is read back, whatever became of the append
  if (!this->ports.usageLog->Append(this->usageStream, WriteUsageRecord(record))) {
    kLog.Event(LogLevel::Warning, "usage_append_unanswered", { { "window", aWindow } });
  }
  return this->ReadUsageLog() && this->ledger.Find(aWindow) != nullptr;
}

void
DutyService::ReportUsage()
{
  const std::int64_t current = this->usage.CurrentWindow();
  for (std::int64_t window = current - kWindowsKept; window < current; ++window) {
    const auto fencing = this->MayAct();
    if (!fencing || this->reported.contains(window)) {
      continue;
    }
    const Milliseconds since = this->usage.SinceEndOf(window);
    {
      const std::lock_guard lock(this->mutex);
      if (!this->usageBook.IsDue(since)) {
        continue;
      }
    }
    if (!this->WriteDownUsage(window)) {
      return;
    }
    const UsageRecord& record = *this->ledger.Find(window);
    const auto sentReport = this->ports.reportUsage(record, *fencing);
    kLog.Event("usage", { { "window", window },
                          { "since_end_ms", since.count() },
                          { "accounts", record.counts.size() },
                          { "fencing", *fencing },
                          { "accepted", sentReport.has_value() } });
    if (sentReport) {
      this->reported.insert(window);
    } else if (sentReport.error().kind == ErrorKind::StaleFencing) {
      this->OnRefused(*fencing);
      return;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->usageBook.Forget(current - kWindowsKept);
  this->ledger.Forget(current - kWindowsKept);
  std::erase_if(this->reported,
                [&](std::int64_t aWindow) { return aWindow < current - kWindowsKept; });
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
  EngineWork rate;
  {
    const std::lock_guard lock(this->mutex);
    rate = this->demandBook.RateOf(aService.name);
  }
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
