#pragma once

#include "Lagoonward/Queueing/ArrivalRates.h"
#include "Lagoonward/Queueing/FairTurns.h"
#include "Lagoonward/Queueing/SlotTable.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lagoonward {

/// Counts of a queue since its creation, for metrics.
struct RequestQueueCounts
{
  std::uint64_t granted = 0;
  std::uint64_t queued = 0;  ///< Requests that had to wait.
  std::uint64_t refused = 0; ///< Requests that would not have got a slot in time.
};

/// Decides which request gets the next free slot of a pool of endpoints, over all daemons: the one with the highest
/// priority, then the one whose client account's turn it is (FairTurns), then the oldest. A request that would not get a
/// slot in time is refused as soon as that is known, when it arrives or when more urgent ones have arrived.
///
/// How long requests may wait depends on the queue: where it is empty at times, all that can be served before their deadline
/// wait, as a burst passes; once it stands for `standingAfter`, only those wait that can still meet their target, as longer
/// waits would serve no more requests, only later (Nichols and Jacobson, "Controlling Queue Delay", 2012; Maurer, "Fail at
/// Scale", 2015). This is judged for each priority, without what is less urgent.
///
/// Performs no I/O. Not thread-safe. Responders must not call it.
class RequestQueue
{
public:
  using Responder = std::function<void(const SlotReply& aReply)>;

  RequestQueue(const RequestQueueSettings& aSettings, const Clock& aClock);

  /// Replaces the list of the pool's endpoints.
  void SetEndpoints(std::span<const PoolEndpoint> aEndpoints);

  /// Handles a daemon's message.
  /// @param aRespond  called once, at once or later, for a Request
  void Handle(const SlotMessage& aMessage, const Responder& aRespond);

  /// Grants slots that have become free, refuses what has become too late, and answers the polls whose time is up. Must be
  /// called when a Request's `waitMs` have passed and from time to time.
  void Update();

  /// Releases all slots and turns of a daemon process that has ended.
  void OnRunEnded(std::uint64_t aRun);

  /// This process has stood still for a while, and messages have waited.
  void OnStandstill() { this->slots.OnStandstill(); }

  /// Another daemon has kept the queue so far: requests that wait from the beginning make it a standing queue at once.
  void OnTakenOver();

  /// Answers all that wait with NotOwner, as this daemon no longer owns the pool.
  void Close();

  /// Whether requests of a priority have waited for `standingAfter` without a pause.
  [[nodiscard]] bool IsStanding() const;

  [[nodiscard]] const SlotTable& Slots() const { return this->slots; }
  [[nodiscard]] std::size_t Waiting() const;
  [[nodiscard]] const RequestQueueCounts& Counts() const { return this->counts; }
  [[nodiscard]] bool HasEndpoints() const { return !this->slots.IsEmpty(); }

private:
  /// A request that waits for a slot.
  struct Waiter
  {
    SlotMessage message;
    double tag = 0;      ///< See FairTurns.
    TimePoint arrivedAt; ///< At the daemon that its caller sent it to.
    TimePoint targetAt;
    TimePoint deadlineAt;
    TimePoint respondBy;   ///< When its poll must be answered.
    TimePoint forgottenAt; ///< When its turn ends unless it polls again.
    Responder respond;     ///< Empty between two polls.
  };

  using WaiterPtr = std::unique_ptr<Waiter>;

  /// The turns of the accounts at a priority.
  [[nodiscard]] FairTurns& TurnsOf(int aPriority);

  /// What is expected for all requests of a priority, until a slot is taken or given back.
  struct Forecast
  {
    bool isCurrent = false;
    TimePoint now;
    int priority = 0;
    bool isStanding = false;
    double workPerSecond = 0;         ///< What more urgent requests leave.
    double fastestSecondsPerWork = 0; ///< At the fastest endpoint.
  };

  [[nodiscard]] Forecast MakeForecast(int aPriority) const;
  void HandleRequest(const SlotMessage& aMessage, const Responder& aRespond);
  [[nodiscard]] WaiterPtr MakeWaiter(const SlotMessage& aMessage, const Responder& aRespond);
  void Poll(Waiter& aWaiter, const SlotMessage& aMessage, const Responder& aRespond) const;
  /// Whether the first request is served before the second.
  [[nodiscard]] static bool IsBefore(const Waiter& aLeft, const Waiter& aRight);
  void Insert(WaiterPtr aWaiter);
  /// Takes out a waiter that is served.
  WaiterPtr Extract(std::size_t aIndex);
  /// Removes a waiter that is not served; its account gets its turn back.
  WaiterPtr Remove(std::size_t aIndex);
  [[nodiscard]] std::optional<std::size_t> FindWaiter(std::uint64_t aLease) const;
  void GrantFreeSlots();
  /// The best endpoint with room for a request, which is not one of those.
  [[nodiscard]] std::optional<std::uint64_t> SelectExcept(
    const SlotMessage& aMessage, std::uint32_t aMemoryTokens,
    const std::vector<std::uint64_t>& aKept) const;
  /// Adds the endpoints with a free slot that the request can use once enough memory is free.
  void KeepMemory(const SlotMessage& aMessage, std::vector<std::uint64_t>& aKept) const;
  /// Whether the endpoint is so slow that a request meets its target only by waiting for another one.
  [[nodiscard]] bool ShouldWaitForFaster(const Waiter& aWaiter, std::uint64_t aEndpoint,
                                         const Forecast& aForecast, double aWorkAhead) const;
  void Grant(WaiterPtr aWaiter, std::uint64_t aEndpoint);
  /// Refuses a request that may not wait, if it waits.
  /// @return whether it was refused
  bool RefuseToQueue(std::uint64_t aLease);
  /// Refuses the waiters that would get a slot too late, unless a slow endpoint has one now.
  void RefuseLate();
  /// An endpoint with a free slot at which the request ends before its deadline, though not within its target.
  [[nodiscard]] std::optional<std::uint64_t> SelectSlow(const Waiter& aWaiter) const;
  void Refuse(const Waiter& aWaiter, TimePoint aExpectedStart);
  void ForgetSilent();
  void AnswerPolls();
  /// The latest time at which a request may start.
  [[nodiscard]] static TimePoint LatestStart(const Forecast& aForecast, const Waiter& aWaiter,
                                             double aTargetMargin);
  /// When a request would start that has that much work before it, its own included.
  [[nodiscard]] static TimePoint ExpectedStart(const Forecast& aForecast, double aWorkAhead);
  [[nodiscard]] bool IsStanding(int aPriority) const;
  void RecordEmptiness();
  /// Whether requests of that priority are refused, so that an empty queue does not show that all are served.
  [[nodiscard]] bool RefusesRequests(int aPriority) const;

  RequestQueueSettings settings;
  const Clock& clock;
  SlotTable slots;
  /// By priority: served urgent requests must not use up the turns of the accounts below them.
  std::map<int, FairTurns> turns;
  ArrivalRates arrivals;
  RequestQueueCounts counts;
  /// In the order in which they are served; pointers, as waiters are large and often inserted and removed.
  std::vector<WaiterPtr> waiting;
  TimePoint takenOverAt; ///< Or created.
  /// When nothing of that priority or a higher one waited last.
  std::map<int, TimePoint> emptyAt;
  /// When a request of that priority was refused last because a standing queue served it too late.
  std::map<int, TimePoint> refusedAt;
};

} // namespace lagoonward
