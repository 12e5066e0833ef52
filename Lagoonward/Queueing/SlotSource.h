#pragma once

#include "Lagoonward/Queueing/SlotMessages.h"

#include <functional>

namespace lagoonward {

/// Asks the owners of pools for slots.
class SlotSource
{
public:
  virtual ~SlotSource() = default;

  /// Asks for a slot for one request, or polls for it.
  /// @param aAnswered  called once, from any thread; with NotOwner if no owner replied in time
  virtual void RequestSlot(const SlotMessage& aRequest,
                           std::function<void(const SlotReply& aReply)> aAnswered) = 0;

  /// Tells the owner of a request that is in flight, has ended or no longer waits. Any thread.
  virtual void Notify(const SlotMessage& aUpdate) = 0;
};

} // namespace lagoonward
