#include "Lagoonward/Daemon/LoadExchange.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("load");

/// The messages; numbers above RequestType::FirstForeign are this folder's.
constexpr auto kMemberReport =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 3);
constexpr auto kGroupReport =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 5);

} // namespace

LoadExchange::LoadExchange(const LoadExchangeSettings& aSettings, LoadExchangeFacts aFacts,
                           MembershipService& aMembership, const Clock& aClock)
  : settings(aSettings)
  , facts(std::move(aFacts))
  , membership(aMembership)
  , clock(aClock)
  , self(this->facts.self.Key())
  , summedAt(aClock.Now())
  , book(this->settings.book, this->facts.run, aClock)
{
  this->membership.Transport().OnRequest(
    kMemberReport,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->TakeReport(aBytes));
    });
  this->membership.Transport().OnRequest(
    kGroupReport, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      this->TakeGroup(aBytes);
      aRespond(std::string());
    });
}

void
LoadExchange::Start()
{
  this->UpdatePlan();
  this->membership.Loop().After(this->Interval(), [this] { this->Report(); });
}

void
LoadExchange::Drain()
{
  const std::lock_guard lock(this->mutex);
  this->draining = true;
  this->replan = true;
}

void
LoadExchange::OnSent(const std::string& aService, const EngineWork& aWork)
{
  const std::lock_guard lock(this->mutex);
  this->sent[aService] += aWork;
}

int
LoadExchange::ElectionRank() const
{
  const std::lock_guard lock(this->mutex);
  return this->plan.RankOf(this->self);
}

LeaderNote
LoadExchange::Leader() const
{
  const std::lock_guard lock(this->mutex);
  return this->book.Leader(3 * this->Interval() + this->settings.leaderMargin);
}

UsageCounts
LoadExchange::UsageOf(std::int64_t aWindow) const
{
  const std::lock_guard lock(this->mutex);
  return this->book.UsageOf(aWindow);
}

bool
LoadExchange::IsUsageDue(Milliseconds aSinceEnd) const
{
  const std::lock_guard lock(this->mutex);
  return this->book.IsUsageDue(aSinceEnd);
}

void
LoadExchange::ForgetUsage(std::int64_t aBefore)
{
  const std::lock_guard lock(this->mutex);
  this->book.ForgetUsage(aBefore);
}

EngineWork
LoadExchange::RateOf(const std::string& aService) const
{
  const std::lock_guard lock(this->mutex);
  return this->book.RateOf(aService);
}

Milliseconds
LoadExchange::Interval() const
{
  const auto members = static_cast<std::int64_t>(this->plan.members.size()) + 1;
  return std::max(this->settings.interval, this->settings.intervalPerMember * members);
}

void
LoadExchange::UpdatePlan()
{
  const PeerViewPtr view = this->membership.Peers();
  const std::lock_guard lock(this->mutex);
  if (view == this->planned && !this->replan) {
    return;
  }
  this->planned = view;
  this->replan = false;
  this->plan = MakeAggregationPlan(this->facts.self, !this->draining, *view, this->settings.plan);
  this->book.SetGroup(this->plan.group);
}

void
LoadExchange::Report()
{
  this->UpdatePlan();
  const TimePoint now = this->clock.Now();
  this->reportsUsage = this->usageSentAt == TimePoint::min() ||
                       now >= this->usageSentAt + this->settings.usageInterval;
  if (this->reportsUsage) {
    this->usageSentAt = now;
  }
  MemberReport report = this->Collect();
  this->SendToAggregators(report);
  if (this->plan.IsFirst(this->self)) {
    this->SendToGroups();
  }
  this->membership.Loop().After(this->Interval(), [this] { this->Report(); });
}

MemberReport
LoadExchange::Collect()
{
  MemberReport report;
  report.run = this->facts.run;
  report.group = this->plan.group;
  report.hasUsage = this->reportsUsage;
  if (this->reportsUsage) {
    report.usage = this->facts.usage();
  }
  for (const EndpointCount& count : this->facts.market->router.OwnInFlight()) {
    report.inFlight.emplace_back(count.endpointKey, count.count);
  }
  report.demand = this->facts.market->admission.TakeDemand();
  // Most daemons never hear of most accounts
  std::erase_if(report.demand, [](const ClientDemand& aEach) {
    return aEach.admittedTotal <= 0 && aEach.running == 0 && aEach.tokensPerSecond <= 0;
  });
  report.speeds = this->facts.market->router.LearnedSpeeds();
  report.leader = this->facts.leader();
  report.poison = this->facts.market->poison.Notes();
  const std::lock_guard lock(this->mutex);
  report.work = this->sent;
  return report;
}

void
LoadExchange::SendToAggregators(MemberReport& aReport)
{
  // What this daemon knows of itself counts at once, also where it leads without being an aggregator
  {
    const std::lock_guard lock(this->mutex);
    this->book.OnMember(aReport);
  }
  // The first gives the sum, the next one where the first is silent
  const bool isLate = this->clock.Now() - this->summedAt > this->settings.sumPatience;
  bool wantsSum = true;
  if (this->plan.IsFirst(this->self)) {
    this->ApplySum(this->SumFor(this->facts.run));
    wantsSum = false;
  }
  std::vector<PeerAddress> receivers = this->plan.own;
  if (const auto leader = this->LeaderElsewhere()) {
    receivers.push_back(*leader);
  }
  for (const PeerAddress& receiver : receivers) {
    if (receiver.key == this->self) {
      continue;
    }
    aReport.wantsSum = wantsSum;
    wantsSum = wantsSum && isLate;
    this->membership.Transport().Request(
      receiver, kMemberReport, EncodeMessage(aReport), this->settings.timeout,
      [this, isSum = aReport.wantsSum](const Result<std::string>& aAnswer) {
        if (isSum) {
          this->TakeSum(aAnswer);
        }
      });
  }
}

std::optional<PeerAddress>
LoadExchange::LeaderElsewhere() const
{
  // Told for longer than it is believed to live: where intervals keep step its note may always come late, and usage is
  // told to it or to nobody
  LeaderNote leader;
  {
    const std::lock_guard lock(this->mutex);
    leader = this->book.Leader(this->settings.book.silence);
  }
  const PeerKey key = ToPeerKey(leader.id);
  const auto rank = static_cast<std::size_t>(this->plan.RankOf(key));
  if (leader.id.empty() || key == this->self || rank < this->plan.candidates.size()) {
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
    report = this->book.GroupSum(this->reportsUsage);
  }
  report.poison = this->facts.market->poison.Notes();
  const std::string bytes = EncodeMessage(report);
  std::vector<PeerAddress> receivers = this->plan.others;
  if (const auto leader = this->LeaderElsewhere()) {
    receivers.push_back(*leader);
  }
  for (const PeerAddress& receiver : receivers) {
    this->membership.Transport().Request(receiver, kGroupReport, bytes, this->settings.timeout,
                                         [](const Result<std::string>&) {});
  }
}

std::string
LoadExchange::TakeReport(std::string_view aBytes)
{
  const auto decoded = DecodeMessage<MemberReport>(aBytes);
  if (!decoded) {
    kLog.Warning("A daemon sent a malformed report of its load: {}.", decoded.error().message);
    return {};
  }
  const MemberReport& report = decoded.value();
  this->facts.market->router.OnToldSpeeds(report.run, report.speeds);
  this->facts.market->poison.OnNotes(report.poison);
  {
    const std::lock_guard lock(this->mutex);
    this->book.OnMember(report);
  }
  return report.wantsSum ? EncodeMessage(this->SumFor(report.run)) : std::string();
}

void
LoadExchange::TakeGroup(std::string_view aBytes)
{
  const auto decoded = DecodeMessage<GroupReport>(aBytes);
  if (!decoded) {
    kLog.Warning("A daemon sent a malformed report of a group's load: {}.",
                 decoded.error().message);
    return;
  }
  const GroupReport& report = decoded.value();
  this->facts.market->poison.OnNotes(report.poison);
  const std::lock_guard lock(this->mutex);
  if (this->book.OnGroup(report)) {
    this->facts.market->router.OnToldSpeeds(report.run, report.speeds);
  }
}

LoadSum
LoadExchange::SumFor(std::uint64_t aRun)
{
  LoadSum sum;
  {
    const std::lock_guard lock(this->mutex);
    sum = this->book.SumFor(aRun);
  }
  sum.speeds = this->facts.market->router.SpeedsInUse();
  sum.poison = this->facts.market->poison.Notes();
  return sum;
}

void
LoadExchange::TakeSum(const Result<std::string>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  const auto sum = DecodeMessage<LoadSum>(aAnswer.value());
  if (!sum) {
    kLog.Warning("A daemon sent a malformed sum of the load: {}.", sum.error().message);
    return;
  }
  this->ApplySum(sum.value());
}

void
LoadExchange::ApplySum(const LoadSum& aSum)
{
  this->summedAt = this->clock.Now();
  std::vector<EndpointCount> counts;
  counts.reserve(aSum.inFlight.size());
  for (const auto& [key, count] : aSum.inFlight) {
    counts.push_back({ key, count });
  }
  {
    const std::lock_guard lock(this->mutex);
    this->book.OnLeader(aSum.leader);
  }
  this->facts.market->router.OnPeersInFlight(counts);
  this->facts.market->admission.OnOthers(aSum.demand);
  this->facts.market->poison.OnNotes(aSum.poison);
  if (aSum.run != this->facts.run) {
    this->facts.market->router.OnToldSpeeds(aSum.run, aSum.speeds);
  }
}

} // namespace lagoonward
