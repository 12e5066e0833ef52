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

/// The queues of all pools that this daemon owns. Performs no I/O. Not thread-safe.
class PoolLedger
{
public:
  PoolLedger(const PoolLedgerSettings& aSettings, const Clock& aClock);

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
  };

  /// Tells the queue if another daemon has kept it so far.
  void DetectTakeover(Entry& aEntry, bool aIsPrimary) const;
  /// The queue of a pool; null if the pool is not known, or there are too many.
  [[nodiscard]] Entry* FindOrCreate(std::uint64_t aPool);
  /// Closes and drops the queues for which a condition holds.
  void EraseQueues(const std::function<bool(std::uint64_t aKey, const Entry& aEntry)>& aWhich);

  PoolLedgerSettings settings;
  const Clock& clock;
  QueuePoolsPtr pools = std::make_shared<const QueuePools>();
  std::unordered_map<std::uint64_t, Entry> queues; ///< By key of the pool.
  RequestQueueCounts closedCounts;                 ///< Of queues that were dropped.
};

} // namespace lagoonward
