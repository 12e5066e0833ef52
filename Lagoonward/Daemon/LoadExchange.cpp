#include "Lagoonward/Daemon/LoadExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("load");

/// Types of the messages; see PeerRequest.
constexpr auto kMemberReport = ToRequestType(PeerRequest::LoadOfMember);
constexpr auto kGroupReport = ToRequestType(PeerRequest::LoadOfGroup);

} // namespace

LoadExchange::LoadExchange(const LoadExchangeSettings& aSettings, LoadExchangeInputs aInputs,
                           MembershipService& aMembership, const Clock& aClock)
  : settings(aSettings)
  , inputs(std::move(aInputs))
  , membership(aMembership)
  , clock(aClock)
  , ownKey(this->inputs.self.Key())
  , sumAppliedAt(aClock.Now())
  , loadTable(this->settings.loadTable, this->inputs.run, aClock)
{
  this->membership.Transport().OnRequest(
    kMemberReport,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleMemberReport(aBytes));
    });
  this->membership.Transport().OnRequest(
    kGroupReport,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      this->HandleGroupReport(aBytes);
      aRespond(std::string());
    });
}

void
LoadExchange::Start()
{
  this->startedAt = this->clock.Now();
  this->UpdatePlan();
  this->membership.Loop().After(this->NextInterval(), [this] { this->SendReports(); });
}

void
LoadExchange::Drain()
{
  const std::lock_guard lock(this->mutex);
  this->draining = true;
  this->planOutdated = true;
}

void
LoadExchange::OnSent(const std::string& aService, const EngineWork& aWork)
{
  const std::lock_guard lock(this->mutex);
  this->sentWork[aService] += aWork;
}

int
LoadExchange::ElectionRank() const
{
  const std::lock_guard lock(this->mutex);
  return this->plan.RankOf(this->ownKey);
}

LeaderAnnouncement
LoadExchange::Leader() const
{
  const std::lock_guard lock(this->mutex);
  return this->loadTable.Leader(3 * this->Interval() + this->settings.leaderMargin);
}

UsageCounts
LoadExchange::UsageInWindow(std::int64_t aWindow) const
{
  const std::lock_guard lock(this->mutex);
  return this->loadTable.UsageInWindow(aWindow);
}

bool
LoadExchange::IsUsageReportable(Milliseconds aSinceEnd) const
{
  const std::lock_guard lock(this->mutex);
  return this->loadTable.IsUsageReportable(aSinceEnd);
}

void
LoadExchange::ExpireUsage(std::int64_t aBefore)
{
  const std::lock_guard lock(this->mutex);
  this->loadTable.ExpireUsage(aBefore);
}

EngineWork
LoadExchange::RateOf(const std::string& aService) const
{
  const std::lock_guard lock(this->mutex);
  return this->loadTable.RateOf(aService);
}

Milliseconds
LoadExchange::Interval() const
{
  const auto members = static_cast<std::int64_t>(this->plan.groupMembers.size()) + 1;
  return std::max(this->settings.interval, this->settings.intervalPerMember * members);
}

Milliseconds
LoadExchange::NextInterval() const
{
  const bool isStarting = this->clock.Now() < this->startedAt + this->settings.startPeriod;
  return isStarting ? this->settings.startInterval : this->Interval();
}

void
LoadExchange::UpdatePlan()
{
  const PeerViewPtr view = this->membership.Peers();
  const std::lock_guard lock(this->mutex);
  if (view == this->plannedView && !this->planOutdated) {
    return;
  }
  this->plannedView = view;
  this->planOutdated = false;
  this->plan = MakeAggregationPlan(this->inputs.self, !this->draining, *view, this->settings.plan);
  this->loadTable.SetGroup(this->plan.group);
}

void
LoadExchange::SendReports()
{
  this->UpdatePlan();
  const TimePoint now = this->clock.Now();
  this->reportsUsage = this->usageSentAt == TimePoint::min() ||
                       now >= this->usageSentAt + this->settings.usageInterval;
  if (this->reportsUsage) {
    this->usageSentAt = now;
  }
  MemberReport report = this->MakeMemberReport();
  this->SendToAggregators(report);
  if (this->plan.IsPrimaryAggregator(this->ownKey)) {
    this->SendToGroups();
  }
  this->membership.Loop().After(this->NextInterval(), [this] { this->SendReports(); });
}

MemberReport
LoadExchange::MakeMemberReport()
{
  MemberReport report;
  report.run = this->inputs.run;
  report.group = this->plan.group;
  report.hasUsage = this->reportsUsage;
  if (this->reportsUsage) {
    report.usage = this->inputs.usage();
  }
  for (const EndpointInFlightCount& count : this->inputs.market->router.OwnInFlight()) {
    report.inFlight.emplace_back(count.endpointKey, count.count);
  }
  report.demand = this->inputs.market->admission.CollectDemand();
  // Most daemons receive no requests of most accounts
  std::erase_if(report.demand, [](const ClientDemand& aEach) {
    return aEach.admittedTotal <= 0 && aEach.running == 0 && aEach.tokensPerSecond <= 0;
  });
  report.speeds = this->inputs.market->router.LearnedSpeeds();
  report.leader = this->inputs.leader();
  report.poison = this->inputs.market->poison.Verdicts();
  report.poisonParts = this->inputs.market->poisonParts.Verdicts();
  report.brittle = this->inputs.market->brittle.Reports();
  report.leaving = this->inputs.market->notices.Reports();
  const std::lock_guard lock(this->mutex);
  report.work = this->sentWork;
  return report;
}

void
LoadExchange::SendToAggregators(MemberReport& aReport)
{
  // Its own report counts at once, also where this daemon leads without being an aggregator
  {
    const std::lock_guard lock(this->mutex);
    this->loadTable.OnMemberReport(aReport);
  }
  // The first aggregator sends the sum; the next one is asked, too, where the first has sent none for a while
  const bool isSumOverdue = this->clock.Now() - this->sumAppliedAt > this->settings.sumTimeout;
  bool wantsSum = true;
  if (this->plan.IsPrimaryAggregator(this->ownKey)) {
    this->ApplySum(this->SumFor(this->inputs.run));
    wantsSum = false;
  }
  std::vector<PeerAddress> receivers = this->plan.ownAggregators;
  if (const auto leader = this->LeaderOutsideAggregators()) {
    receivers.push_back(*leader);
  }
  for (const PeerAddress& receiver : receivers) {
    if (receiver.key == this->ownKey) {
      continue;
    }
    aReport.wantsSum = wantsSum;
    wantsSum = wantsSum && isSumOverdue;
    this->membership.Transport().Request(
      receiver, kMemberReport, EncodeMessage(aReport), this->settings.timeout,
      [this, isSumRequested = aReport.wantsSum](const Result<std::string>& aResponse) {
        if (isSumRequested) {
          this->HandleSumResponse(aResponse);
        }
      });
  }
}

std::optional<PeerAddress>
LoadExchange::LeaderOutsideAggregators() const
{
  // The leader is sent reports for longer than its announcement is valid for elections: with synchronized intervals
  // every announcement may arrive late, and usage that is not sent to the leader is lost
  LeaderAnnouncement leader;
  {
    const std::lock_guard lock(this->mutex);
    leader = this->loadTable.Leader(this->settings.loadTable.silenceTimeout);
  }
  const PeerKey key = ToPeerKey(leader.id);
  const auto rank = static_cast<std::size_t>(this->plan.RankOf(key));
  if (leader.id.empty() || key == this->ownKey || rank < this->plan.allAggregators.size()) {
    return std::nullopt;
  }
  return this->membership.AddressOf(key);
}

void
LoadExchange::SendToGroups()
{
  GroupReport report;
  {
    const std::lock_guard lock(this->mutex);
    report = this->loadTable.MakeGroupReport(this->reportsUsage);
  }
  report.poison = this->inputs.market->poison.Verdicts();
  report.poisonParts = this->inputs.market->poisonParts.Verdicts();
  report.brittle = this->inputs.market->brittle.Reports();
  report.leaving = this->inputs.market->notices.Reports();
  const std::string bytes = EncodeMessage(report);
  std::vector<PeerAddress> receivers = this->plan.otherAggregators;
  if (const auto leader = this->LeaderOutsideAggregators()) {
    receivers.push_back(*leader);
  }
  for (const PeerAddress& receiver : receivers) {
    this->membership.Transport().Request(receiver, kGroupReport, bytes, this->settings.timeout,
                                         [](const Result<std::string>&) {});
  }
}

std::string
LoadExchange::HandleMemberReport(std::string_view aBytes)
{
  const auto decoded = DecodeMessage<MemberReport>(aBytes);
  if (!decoded) {
    kLog.Warning("Received a malformed member load report from a peer; ignored: {}.",
                 decoded.error().message);
    return {};
  }
  const MemberReport& report = decoded.value();
  this->inputs.market->router.OnPeerSpeeds(report.run, report.speeds);
  this->inputs.market->poison.OnVerdicts(report.poison);
  this->inputs.market->poisonParts.OnVerdicts(report.poisonParts);
  this->inputs.market->brittle.OnReports(report.brittle);
  this->inputs.market->notices.OnReports(report.leaving);
  {
    const std::lock_guard lock(this->mutex);
    this->loadTable.OnMemberReport(report);
  }
  return report.wantsSum ? EncodeMessage(this->SumFor(report.run)) : std::string();
}

void
LoadExchange::HandleGroupReport(std::string_view aBytes)
{
  const auto decoded = DecodeMessage<GroupReport>(aBytes);
  if (!decoded) {
    kLog.Warning("Received a malformed group load report from a peer; ignored: {}.",
                 decoded.error().message);
    return;
  }
  const GroupReport& report = decoded.value();
  this->inputs.market->poison.OnVerdicts(report.poison);
  this->inputs.market->poisonParts.OnVerdicts(report.poisonParts);
  this->inputs.market->brittle.OnReports(report.brittle);
  this->inputs.market->notices.OnReports(report.leaving);
  const std::lock_guard lock(this->mutex);
  if (this->loadTable.OnGroupReport(report)) {
    this->inputs.market->router.OnPeerSpeeds(report.run, report.speeds);
  }
}

LoadSum
LoadExchange::SumFor(std::uint64_t aRun)
{
  LoadSum sum;
  {
    const std::lock_guard lock(this->mutex);
    sum = this->loadTable.SumFor(aRun);
  }
  sum.speeds = this->inputs.market->router.SpeedsInUse();
  sum.poison = this->inputs.market->poison.Verdicts();
  sum.poisonParts = this->inputs.market->poisonParts.Verdicts();
  sum.brittle = this->inputs.market->brittle.Reports();
  sum.leaving = this->inputs.market->notices.Reports();
  return sum;
}

void
LoadExchange::HandleSumResponse(const Result<std::string>& aResponse)
{
  if (!aResponse) {
    return;
  }
  const auto sum = DecodeMessage<LoadSum>(aResponse.value());
  if (!sum) {
    kLog.Warning("Received a malformed load sum from a peer; ignored: {}.", sum.error().message);
    return;
  }
  this->ApplySum(sum.value());
}

void
LoadExchange::ApplySum(const LoadSum& aSum)
{
  this->sumAppliedAt = this->clock.Now();
  std::vector<EndpointInFlightCount> counts;
  counts.reserve(aSum.inFlight.size());
  for (const auto& [key, count] : aSum.inFlight) {
    counts.push_back({ key, count });
  }
  {
    const std::lock_guard lock(this->mutex);
    this->loadTable.OnLeader(aSum.leader);
  }
  this->inputs.market->router.OnPeersInFlight(counts);
  this->inputs.market->admission.OnAggregatedDemand(aSum.demand);
  this->inputs.market->poison.OnVerdicts(aSum.poison);
  this->inputs.market->poisonParts.OnVerdicts(aSum.poisonParts);
  this->inputs.market->brittle.OnReports(aSum.brittle);
  this->inputs.market->notices.OnReports(aSum.leaving);
  if (aSum.run != this->inputs.run) {
    this->inputs.market->router.OnPeerSpeeds(aSum.run, aSum.speeds);
  }
}

} // namespace lagoonward
