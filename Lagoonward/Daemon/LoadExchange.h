#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Daemon/LoadTable.h"
#include "Lagoonward/Membership/AggregationPlan.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <functional>
#include <mutex>
#include <string>

namespace lagoonward {

/// Tunables of the LoadExchange.
struct LoadExchangeSettings
{
  AggregationSettings plan;
  LoadTableSettings loadTable;

  /// Between two reports of a member. Bounds how outdated the daemons' knowledge of each other's load is.
  Milliseconds interval{ 250 };

  /// Between two reports of a daemon that has just started, for `startPeriod`: until it is in the sums of the others, and
  /// they are in its own, clients' limits are refilled for the daemons known so far only.
  Milliseconds startInterval{ 50 };
  Milliseconds startPeriod{ 1000 };

  /// Least interval per member of the group. Limits an aggregator to 125 reports per second.
  Milliseconds intervalPerMember{ 8 };

  /// Between two reports with usage. It is longer, since usage is needed only seconds later.
  Milliseconds usageInterval{ 1000 };

  Milliseconds timeout{ 800 }; ///< For one message.

  /// Added to three intervals for the age at which a leader's announcement expires: allows for one late message.
  Milliseconds leaderMargin{ 400 };

  /// The next aggregator is asked for the sum, too, after the first has sent none for this long: two missed reports and
  /// a message in transit.
  Milliseconds sumTimeout{ 1000 };
};

/// Inputs from this daemon: its identity and the sources of its reports.
struct LoadExchangeInputs
{
  PeerInfo self;
  std::uint64_t run = 0; ///< Identifies this run of this daemon.
  std::function<UsageByWindow()> usage;
  std::function<LeaderAnnouncement()>
    leader;                 ///< This daemon while it leads, else an empty announcement.
  Market* market = nullptr; ///< Source of demand and requests in flight.
};

/// Reports this daemon's load and receives the load of all others, through aggregators (AggregationPlan), so that no
/// daemon receives messages from more than its own group and one daemon of each other group:
///
/// | content | sender and receiver | frequency | bytes | greatest age |
/// | --- | --- | --- | --- | --- |
/// | demand and totals of accounts, requests in flight, work | member to two aggregators | interval | 28 per account with demand, 12 per endpoint in use | - |
/// | the same, summed | first aggregator to two of each other group | interval | the same over the group | two intervals |
/// | the sum of all others | response to a member's report | interval | the same over the deployment | three intervals |
/// | requests that crash endpoints | with each of these | interval | 13 per suspect request | three intervals |
/// | usage by window and account | with the reports of each usageInterval | 1 s | 28 per account and window | 2 s at the leader |
///
/// With N daemons in groups of G a member sends two messages per interval, and an aggregator receives G and 2 N / G.
/// A member that is cut off from its aggregators continues with its equal share of each limit (SharedTokenBucket).
///
/// Runs on the control thread, except for the methods marked "any thread".
class LoadExchange
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  LoadExchange(const LoadExchangeSettings& aSettings, LoadExchangeInputs aInputs,
               MembershipService& aMembership, const Clock& aClock);

  /// Starts to report. On the control thread.
  void Start();

  /// This daemon is leaving: it is no aggregator any more. Any thread.
  void Drain();

  /// A request was sent to an endpoint. Any thread.
  void OnSent(const std::string& aService, const EngineWork& aWork);

  /// This daemon's rank among the candidates for leadership; their number if it is none of them. Any thread.
  [[nodiscard]] int ElectionRank() const;

  /// The leader, until its announcement is older than three intervals and `leaderMargin`; then an empty announcement.
  /// An announcement passes through the leader's group and another one, an interval each, and is read an interval
  /// later. Any thread.
  [[nodiscard]] LeaderAnnouncement Leader() const;

  /// See LoadTable. Any thread. Complete only at aggregators and at the leader.
  [[nodiscard]] UsageCounts UsageInWindow(std::int64_t aWindow) const;
  [[nodiscard]] bool IsUsageReportable(Milliseconds aSinceEnd) const;
  void ExpireUsage(std::int64_t aBefore);
  [[nodiscard]] EngineWork RateOf(const std::string& aService) const;

private:
  void SendReports();
  void UpdatePlan();
  [[nodiscard]] Milliseconds Interval() const;
  /// Interval until the next report.
  [[nodiscard]] Milliseconds NextInterval() const;
  [[nodiscard]] MemberReport MakeMemberReport();
  void SendToAggregators(MemberReport& aReport);
  void SendToGroups();
  /// The leader, where it is no aggregator and not this daemon.
  [[nodiscard]] std::optional<PeerAddress> LeaderOutsideAggregators() const;
  [[nodiscard]] std::string HandleMemberReport(std::string_view aBytes);
  void HandleGroupReport(std::string_view aBytes);
  [[nodiscard]] LoadSum SumFor(std::uint64_t aRun);
  void HandleSumResponse(const Result<std::string>& aResponse);
  void ApplySum(const LoadSum& aSum);

  LoadExchangeSettings settings;
  LoadExchangeInputs inputs;
  MembershipService& membership;
  const Clock& clock;
  PeerKey ownKey;
  PeerViewPtr plannedView; ///< The view that the plan was made from.
  TimePoint usageSentAt = TimePoint::min();
  TimePoint startedAt;       ///< When Start() was called.
  TimePoint sumAppliedAt;    ///< When a sum was last applied.
  bool reportsUsage = false; ///< Whether this interval's messages carry usage.

  mutable std::mutex mutex; ///< Guards all members below.
  AggregationPlan plan;
  bool draining = false;
  bool planOutdated = true;
  WorkByService sentWork; ///< Total sent by this daemon since its start.
  LoadTable loadTable;
};

} // namespace lagoonward
