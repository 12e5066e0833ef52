#pragma once

#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Queueing/RequestQueue.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonward::testing {

/// A Request that may wait long and is never late, unless a test changes its times.
inline SlotMessage
MakeSlotRequest(std::uint64_t aLease)
{
  SlotMessage request;
  request.run = 1;
  request.lease = aLease;
  request.leaseMs = 20'000;
  request.waitMs = 15'000;
  request.targetMs = 15'000;
  request.budgetMs = 15'000;
  request.account = 1;
  return request;
}

inline SlotMessage
MakeSlotUpdate(std::uint64_t aLease, SlotAction aAction, std::uint64_t aEndpoint = 0)
{
  SlotMessage update;
  update.run = 1;
  update.lease = aLease;
  update.leaseMs = 20'000;
  update.action = aAction;
  update.endpoint = aEndpoint;
  return update;
}

/// A queue on a virtual clock, past the time in which it counts as taken over, and the last reply to each request.
class QueueFixture
{
public:
  /// Time that a request takes at the endpoints of CompleteOne().
  static constexpr Milliseconds kServiceTime{ 100 };

  explicit QueueFixture(const std::vector<PoolEndpoint>& aEndpoints,
                        RequestQueueSettings aSettings = {})
    : queue(aSettings, this->clock)
  {
    this->queue.SetEndpoints(aEndpoints);
    this->clock.Advance(aSettings.takeoverPeriod);
    this->queue.Update();
  }

  void Ask(const SlotMessage& aRequest)
  {
    this->replies.erase(aRequest.lease);
    this->queue.Handle(aRequest, [this, lease = aRequest.lease](const SlotReply& aReply) {
      this->replies[lease] = aReply;
    });
  }

  void Tell(const SlotMessage& aUpdate)
  {
    this->queue.Handle(aUpdate, [](const SlotReply&) {});
  }

  void Pass(Milliseconds aTime)
  {
    this->clock.Advance(aTime);
    this->queue.Update();
  }

  /// Asks for a slot, which must be free, and ends the request after `kServiceTime`.
  void CompleteOne(std::uint64_t aLease)
  {
    this->Ask(MakeSlotRequest(aLease));
    this->clock.Advance(kServiceTime);
    this->Tell(MakeSlotUpdate(aLease, SlotAction::Complete));
  }

  /// What the request was last answered; nothing while its reply is held back.
  [[nodiscard]] std::optional<SlotAnswer> AnswerTo(std::uint64_t aLease) const
  {
    const auto found = this->replies.find(aLease);
    return found == this->replies.end() ? std::nullopt : std::optional(found->second.answer);
  }

  [[nodiscard]] bool IsGranted(std::uint64_t aLease) const
  {
    return this->AnswerTo(aLease) == SlotAnswer::Granted;
  }

  [[nodiscard]] bool IsRefused(std::uint64_t aLease) const
  {
    return this->AnswerTo(aLease) == SlotAnswer::Refused;
  }

  VirtualClock clock;
  RequestQueue queue;
  std::map<std::uint64_t, SlotReply> replies;
};

} // namespace lagoonward::testing
