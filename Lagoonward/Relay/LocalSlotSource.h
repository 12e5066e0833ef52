#pragma once

#include "Lagoonward/Queueing/PoolLedger.h"
#include "Lagoonward/Queueing/QueuePoolsStore.h"
#include "Lagoonward/Queueing/SlotSource.h"
#include "Lagoonward/Wire/TrafficLoop.h"

namespace lagoonward {

/// Gives out slots within the process, on its traffic loop. For a daemon without peers, which owns all pools.
class LocalSlotSource final : public SlotSource
{
public:
  /// References must outlive it.
  LocalSlotSource(TrafficLoop& aLoop, const QueuePoolsStore& aPools);

  void RequestSlot(const SlotMessage& aRequest,
                   std::function<void(const SlotReply& aReply)> aAnswered) override;
  void Notify(const SlotMessage& aUpdate) override;

private:
  void Handle(const SlotMessage& aMessage, const RequestQueue::Responder& aRespond);

  TrafficLoop& loop;
  const QueuePoolsStore& pools;
  PoolLedger ledger; ///< Accessed on the loop only, as is the next one.
  QueuePoolsPtr appliedPools;
};

} // namespace lagoonward
