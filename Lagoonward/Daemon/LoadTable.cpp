#include "Lagoonward/Daemon/LoadTable.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Adds the other groups' demand to the demand of a group's members.
void
AddDemand(std::vector<ClientDemand>& aDemand, std::span<const ClientDemand> aOther)
{
  std::unordered_map<std::uint64_t, std::size_t> positions;
  for (std::size_t index = 0; index < aDemand.size(); ++index) {
    positions[aDemand[index].client] = index;
  }
  for (const ClientDemand& entry : aOther) {
    const auto known = positions.find(entry.client);
    if (known == positions.end()) {
      aDemand.push_back(entry);
      continue;
    }
    ClientDemand& demand = aDemand[known->second];
    demand.tokensPerSecond += entry.tokensPerSecond;
    demand.running += entry.running;
    demand.admittedTotal += entry.admittedTotal;
  }
}

/// Merges two lists of requests in flight that are ordered by endpoint.
InFlightCounts
AddInFlight(const InFlightCounts& aLeft, const InFlightCounts& aRight)
{
  InFlightCounts sum;
  sum.reserve(aLeft.size() + aRight.size());
  auto left = aLeft.begin();
  auto right = aRight.begin();
  while (left != aLeft.end() || right != aRight.end()) {
    if (right == aRight.end() || (left != aLeft.end() && left->first < right->first)) {
      sum.push_back(*left++);
    } else if (left == aLeft.end() || right->first < left->first) {
      sum.push_back(*right++);
    } else {
      sum.emplace_back(left->first, left->second + right->second);
      ++left;
      ++right;
    }
  }
  return sum;
}

} // namespace

LoadTable::GroupTables::GroupTables(const LoadTableSettings& aSettings, const Clock& aClock)
  : memberUsage(aSettings.usage, aClock)
  , groupUsage(aSettings.usage, aClock)
  , memberWork(aSettings.silenceTimeout, aClock)
  , memberInFlight(aSettings.silenceTimeout, aClock)
  , groupInFlight(aSettings.silenceTimeout, aClock)
  , memberDemand(aSettings.demand, aClock)
  , groupDemand(aSettings.demand, aClock)
{
}

LoadTable::LoadTable(const LoadTableSettings& aSettings, std::uint64_t aRun, const Clock& aClock)
  : settings(aSettings)
  , run(aRun)
  , clock(aClock)
{
  this->tables.emplace(this->settings, this->clock);
}

void
LoadTable::SetGroup(std::uint64_t aGroup)
{
  if (aGroup != this->group) {
    this->group = aGroup;
    this->tables.emplace(this->settings, this->clock);
  }
}

void
LoadTable::OnMemberReport(const MemberReport& aReport)
{
  this->OnLeader(aReport.leader);
  if (aReport.group != this->group) {
    return;
  }
  if (aReport.hasUsage) {
    this->tables->memberUsage.OnCounts(aReport.run, aReport.usage);
  }
  this->tables->memberWork.OnTotals(aReport.run, aReport.work);
  this->tables->memberInFlight.OnCounts(aReport.run, aReport.inFlight);
  this->tables->memberSpeeds[aReport.run] = { this->clock.Now(), aReport.speeds };
  this->tables->memberDemand.OnReport(aReport.run, aReport.run, 1, Plausible(aReport.demand));
}

bool
LoadTable::OnGroupReport(const GroupReport& aReport)
{
  if (aReport.group == this->group || aReport.demand.daemons < 0 || aReport.usageAge < 0) {
    return false;
  }
  const TimePoint now = this->clock.Now();
  const auto known = this->tables->groups.find(aReport.group);
  if (known == this->tables->groups.end() &&
      this->tables->groups.size() >= this->settings.maximumGroups) {
    return false;
  }
  const bool isOtherAggregator =
    known != this->tables->groups.end() && known->second.run != aReport.run;
  if (isOtherAggregator && now - known->second.receivedAt <= this->settings.aggregatorTimeout) {
    return false;
  }
  this->OnLeader(aReport.leader);
  this->tables->groups[aReport.group] = { aReport.run, now, aReport.workRate };
  if (aReport.hasUsage) {
    this->tables->groupUsage.OnCounts(aReport.group, aReport.usage, Milliseconds(aReport.usageAge));
  }
  this->tables->groupInFlight.OnCounts(aReport.group, aReport.inFlight);
  this->tables->groupDemand.OnReport(aReport.group, aReport.run, aReport.demand.daemons,
                                     Plausible(aReport.demand.demand));
  return true;
}

LoadSum
LoadTable::SumFor(std::uint64_t aRun)
{
  this->tables->memberDemand.RemoveStaleSources();
  this->tables->groupDemand.RemoveStaleSources();
  LoadSum sum;
  sum.run = this->run;
  sum.inFlight =
    AddInFlight(this->tables->memberInFlight.SumOfOthers(aRun), this->tables->groupInFlight.Sum());
  const AggregatedDemand groupSum = this->tables->groupDemand.Sum();
  sum.demand = this->tables->memberDemand.SumOfOthers(aRun);
  sum.demand.series = CombineHashes(this->run, sum.demand.series);
  sum.demand.daemons += groupSum.daemons;
  AddDemand(sum.demand.demand, groupSum.demand);
  sum.leader = this->Leader(this->settings.silenceTimeout);
  return sum;
}

GroupReport
LoadTable::MakeGroupReport(bool aHasUsage)
{
  GroupReport report;
  report.run = this->run;
  report.group = this->group;
  report.hasUsage = aHasUsage;
  if (aHasUsage) {
    report.usageAge = this->tables->memberUsage.OldestAge().count();
    report.usage = this->tables->memberUsage.Totals();
  }
  report.inFlight = this->tables->memberInFlight.Sum();
  report.demand = this->tables->memberDemand.Sum();
  report.workRate = this->tables->memberWork.Rates();
  report.speeds = this->GroupSpeeds();
  report.leader = this->Leader(this->settings.silenceTimeout);
  return report;
}

void
LoadTable::OnLeader(const LeaderAnnouncement& aAnnouncement)
{
  if (aAnnouncement.id.empty() || aAnnouncement.fencing < this->leader.fencing ||
      aAnnouncement.age < 0) {
    return;
  }
  const TimePoint receivedAt = this->clock.Now() - Milliseconds(aAnnouncement.age);
  const bool isNewer =
    aAnnouncement.fencing > this->leader.fencing || receivedAt > this->leaderAnnouncedAt;
  if (isNewer) {
    this->leader = aAnnouncement;
    this->leaderAnnouncedAt = receivedAt;
  }
}

LeaderAnnouncement
LoadTable::Leader(Milliseconds aWithin) const
{
  const auto age = std::chrono::floor<Milliseconds>(this->clock.Now() - this->leaderAnnouncedAt);
  if (this->leader.id.empty() || age > aWithin) {
    return {};
  }
  return { this->leader.id, this->leader.fencing, age.count() };
}

std::vector<SpeedReport>
LoadTable::GroupSpeeds()
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->tables->memberSpeeds, [&](const auto& aMember) {
    return now - aMember.second.receivedAt > this->settings.silenceTimeout;
  });
  std::map<std::string_view, std::vector<const SpeedReport*>> byClass;
  for (const auto& [member, speedsOfMember] : this->tables->memberSpeeds) {
    for (const SpeedReport& report : speedsOfMember.speeds) {
      byClass[report.machineClass].push_back(&report);
    }
  }
  std::vector<SpeedReport> medians;
  medians.reserve(byClass.size());
  for (const auto& [machineClass, reports] : byClass) {
    medians.push_back(MedianOfSpeeds(reports));
  }
  return medians;
}

UsageCounts
LoadTable::UsageInWindow(std::int64_t aWindow) const
{
  UsageCounts total = this->tables->memberUsage.TotalOf(aWindow);
  for (const auto& [account, count] : this->tables->groupUsage.TotalOf(aWindow)) {
    total[account] += count;
  }
  return total;
}

bool
LoadTable::IsUsageReportable(Milliseconds aSinceEnd) const
{
  return this->tables->memberUsage.IsDue(aSinceEnd) && this->tables->groupUsage.IsDue(aSinceEnd);
}

void
LoadTable::ExpireUsage(std::int64_t aBefore)
{
  this->tables->memberUsage.EvictBefore(aBefore);
  this->tables->groupUsage.EvictBefore(aBefore);
}

EngineWork
LoadTable::RateOf(const std::string& aService) const
{
  EngineWork sum = this->tables->memberWork.RateOf(aService);
  for (const auto& [key, each] : this->tables->groups) {
    const auto rate = each.workRate.find(aService);
    if (rate != each.workRate.end() &&
        this->clock.Now() - each.receivedAt <= this->settings.silenceTimeout) {
      sum += rate->second;
    }
  }
  return sum;
}

int
LoadTable::ReportedDaemons() const
{
  return this->tables->memberDemand.Sum().daemons + this->tables->groupDemand.Sum().daemons;
}

std::vector<ClientDemand>
LoadTable::Plausible(std::vector<ClientDemand> aDemand)
{
  std::erase_if(aDemand, [](const ClientDemand& aEach) { return !IsPlausible(aEach); });
  return aDemand;
}

} // namespace lagoonward
