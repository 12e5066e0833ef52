#include "Lagoonward/Relay/LocalSlotSource.h"

#include <utility>

namespace lagoonward {

LocalSlotSource::LocalSlotSource(TrafficLoop& aLoop, const QueuePoolsStore& aPools)
  : loop(aLoop)
  , pools(aPools)
  , ledger({}, aLoop.GetClock())
{
}

void
LocalSlotSource::RequestSlot(const SlotMessage& aRequest,
                             std::function<void(const SlotReply& aReply)> aAnswered)
{
  this->loop.Post([this, request = aRequest, answered = std::move(aAnswered)] {
    this->Handle(request, answered);
    if (request.waitMs > 0) {
      this->loop.RunAfter(Milliseconds(request.waitMs), [this] { this->ledger.Update(); });
    }
  });
}

void
LocalSlotSource::Notify(const SlotMessage& aUpdate)
{
  this->loop.Post([this, update = aUpdate] { this->Handle(update, [](const SlotReply&) {}); });
}

void
LocalSlotSource::Handle(const SlotMessage& aMessage, const RequestQueue::Responder& aRespond)
{
  if (QueuePoolsPtr current = this->pools.Get(); current != this->appliedPools) {
    this->appliedPools = current;
    this->ledger.SetPools(std::move(current));
  }
  this->ledger.Handle(aMessage, true, aRespond);
}

} // namespace lagoonward
