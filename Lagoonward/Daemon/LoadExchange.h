#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Daemon/LoadBook.h"
#include "Lagoonward/Membership/AggregationPlan.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <functional>
#include <mutex>
#include <string>

namespace lagoonward {

/// Tunables of the exchange of load.
struct LoadExchangeSettings
{
  AggregationSettings plan;
  LoadBookSettings book;

  /// Between two reports of a member. Bounds how long daemons do not know of each other's use.
  Milliseconds interval{ 250 };

  /// At least so long for each member of the group: an aggregator then takes 125 reports a second at the most.
  Milliseconds intervalPerMember{ 8 };

  /// Between two reports that carry usage, which is asked for only seconds later.
  Milliseconds usageInterval{ 1000 };

  Milliseconds timeout{ 800 }; ///< For one message.

  /// Beyond three intervals, for a leader's note on its way: one message that comes late.
  Milliseconds leaderMargin{ 400 };

  /// The next aggregator is asked for the sum once the first has given none for so long: two reports missed and a
  /// message on its way.
  Milliseconds sumPatience{ 1000 };
};

/// Who takes part, and what is told of it.
struct LoadExchangeFacts
{
  PeerInfo self;
  std::uint64_t run = 0; ///< Names this run of this daemon.
  std::function<UsageByWindow()> usage;
  std::function<LeaderNote()> leader; ///< This daemon while it leads, else nobody.
  Market* market = nullptr;           ///< Whose demand and requests in flight are told.
};

/// Tells what this daemon does and learns what all others do, through aggregators (AggregationPlan), so that no daemon
/// hears from more than its own group and one of each other group:
///
/// | what | who to whom | how often | bytes | how old at most |
/// | --- | --- | --- | --- | --- |
/// | demand and totals of accounts, requests in flight, work | member to two aggregators | interval | 28 an account asked for, 12 an endpoint in use | - |
/// | the same, summed | first aggregator to two of each other group | interval | the same over the group | two intervals |
/// | the sum of all others | in the answer to a member's report | interval | the same over the deployment | three intervals |
/// | requests that crash endpoints | with each of these | interval | 13 a request that is suspect | three intervals |
/// | usage by window and account | with every report of each usageInterval | 1 s | 28 an account and window | 2 s at whoever leads |
///
/// With N daemons in groups of G a member sends two messages an interval, an aggregator takes G and 2 N / G.
/// A member cut off from its aggregators goes on with its equal part of each limit (PooledBucket).
///
/// Lives on the control thread, but for what is said to be for any thread.
class LoadExchange
{
public:
  /// Must be made before the membership starts; references must outlive it.
  LoadExchange(const LoadExchangeSettings& aSettings, LoadExchangeFacts aFacts,
               MembershipService& aMembership, const Clock& aClock);

  /// Begins to report. On the control thread.
  void Start();

  /// This daemon leaves: it is no aggregator any more. Any thread.
  void Drain();

  /// A request was sent to an endpoint. Any thread.
  void OnSent(const std::string& aService, const EngineWork& aWork);

  /// This daemon's place among all that may lead; the number of them if it is none. Any thread.
  [[nodiscard]] int ElectionRank() const;

  /// Who leads, as long as it cannot be taken for gone: its note passes through its group and another one, an interval each,
  /// and is read an interval later. Nobody otherwise. Any thread.
  [[nodiscard]] LeaderNote Leader() const;

  /// See LoadBook. Any thread. Only aggregators and whoever leads know the whole.
  [[nodiscard]] UsageCounts UsageOf(std::int64_t aWindow) const;
  [[nodiscard]] bool IsUsageDue(Milliseconds aSinceEnd) const;
  void ForgetUsage(std::int64_t aBefore);
  [[nodiscard]] EngineWork RateOf(const std::string& aService) const;

private:
  void Report();
  void UpdatePlan();
  [[nodiscard]] Milliseconds Interval() const;
  [[nodiscard]] MemberReport Collect();
  void SendToAggregators(MemberReport& aReport);
  void SendToGroups();
  /// Whoever leads, where it is no aggregator.
  [[nodiscard]] std::optional<PeerAddress> LeaderElsewhere() const;
  [[nodiscard]] std::string TakeReport(std::string_view aBytes);
  void TakeGroup(std::string_view aBytes);
  [[nodiscard]] LoadSum SumFor(std::uint64_t aRun);
  void TakeSum(const Result<std::string>& aAnswer);
  void ApplySum(const LoadSum& aSum);

  LoadExchangeSettings settings;
  LoadExchangeFacts facts;
  MembershipService& membership;
  const Clock& clock;
  PeerKey self;
  PeerViewPtr planned; ///< The view that the plan rests on.
  TimePoint usageSentAt = TimePoint::min();
  TimePoint summedAt;        ///< When a sum came last.
  bool reportsUsage = false; ///< With this interval's messages.

  mutable std::mutex mutex; ///< Guards what follows.
  AggregationPlan plan;
  bool draining = false;
  bool replan = true;
  WorkByService sent; ///< By this daemon, since its start.
  LoadBook book;
};

} // namespace lagoonward
