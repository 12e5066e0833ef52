#pragma once

#include "Lagoonward/Queueing/QueuePools.h"
#include "Lagoonward/Queueing/RequestQueue.h"

#include <memory>

namespace lagoonward {

/// Sums over the pools that a daemon owns, for metrics.
struct PoolLedgerState
{
  int pools = 0;
  int waiting = 0;
  int takenSlots = 0;
  int slots = 0;
  RequestQueueCounts counts; ///< Also of pools that it no longer owns.
};

/// What happens to the queue of a pool.
enum class QueueEvent
{
  TakenOver, ///< Another daemon has kept it so far, or nothing is known of it.
  Standing,  ///< Requests wait all the time, so only those wait that can still meet their target.
};

/// The queues of all pools that this daemon owns. Performs no I/O. Not thread-safe.
class PoolLedger
{
public:
  PoolLedger(const PoolLedgerSettings& aSettings, const Clock& aClock);

  /// Sets the function that is called for the events of a queue; it must not call the ledger.
  void SetListener(std::function<void(std::uint64_t aPool, QueueEvent aEvent)> aListener);

  /// Replaces the division into pools. Queues of pools that are gone answer NotOwner.
  void SetPools(QueuePoolsPtr aPools);

  /// Handles a message about a pool that this daemon owns.
  /// @param aRespond  called once, at once or later, for a Request
  /// @param aIsPrimary  whether this daemon is the primary owner; the backup serves what the primary does not answer
  /// @return whether the pool is known
  bool Handle(const SlotMessage& aMessage, bool aIsPrimary,
              const RequestQueue::Responder& aRespond);

  /// See RequestQueue::Update().
  void Update();

  /// See RequestQueue::OnStandstill().
  void OnStandstill();

  /// See RequestQueue::OnRunEnded().
  void OnRunEnded(std::uint64_t aRun);

  /// Drops the queues of the pools that this daemon no longer owns; what waits there is answered NotOwner.
  void OnOwnersChanged(const std::function<bool(std::uint64_t aPool)>& aIsOwned);

  [[nodiscard]] PoolLedgerState State() const;

private:
  struct Entry
  {
    std::unique_ptr<RequestQueue> queue;
    TimePoint usedAt;
    bool isPrimary = false;               ///< At the last request.
    std::optional<TimePoint> requestedAt; ///< When the last request came.
    bool isStanding = false;              ///< As last reported.
  };

  /// Tells the queue if another daemon has kept it so far.
  void DetectTakeover(std::uint64_t aPool, Entry& aEntry, bool aIsPrimary) const;
  /// Reports a queue that has become a standing queue.
  void DetectStanding(std::uint64_t aPool, Entry& aEntry) const;
  /// The queue of a pool; null if the pool is not known, or there are too many.
  [[nodiscard]] Entry* FindOrCreate(std::uint64_t aPool);
  /// Closes and drops the queues for which a condition holds.
  void EraseQueues(const std::function<bool(std::uint64_t aKey, const Entry& aEntry)>& aWhich);

  PoolLedgerSettings settings;
  const Clock& clock;
  QueuePoolsPtr pools = std::make_shared<const QueuePools>();
  std::unordered_map<std::uint64_t, Entry> queues; ///< By key of the pool.
  RequestQueueCounts closedCounts;                 ///< Of queues that were dropped.
  std::function<void(std::uint64_t aPool, QueueEvent aEvent)> listener =
    [](std::uint64_t /*aPool*/, QueueEvent /*aEvent*/) {};
};

} // namespace lagoonward
