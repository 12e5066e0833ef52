#pragma once

#include "Lagoonward/Membership/WireCodec.h"

#include <cmath>
#include <cstdint>
#include <vector>

namespace lagoonward {

/// What a daemon asks or tells the owner of a pool about one of its requests.
enum class SlotAction : std::uint8_t
{
  Request,  ///< Asks for a slot, or polls for the one that it waits for.
  Withdraw, ///< The request that waits no longer wants a slot.
  Declare,  ///< The request is in flight at an endpoint already.
  Complete, ///< It ended with a complete response.
  Fail,     ///< The endpoint answered with a failure.
  Lose,     ///< Its connection was lost or stayed silent; the endpoint may still run it.
  Abandon,  ///< It was given up for another reason; the endpoint may still run it.
  Reject,   ///< The endpoint rejected it without running it.
};

/// Message to the owner of a pool of endpoints.
struct SlotMessage
{
  std::uint64_t pool = 0;  ///< See QueuePool::key.
  std::uint64_t run = 0;   ///< Identifies the sending daemon process.
  std::uint64_t lease = 0; ///< Identifies the request; unique over all daemons.
  SlotAction action = SlotAction::Request;
  std::uint64_t endpoint = 0; ///< Key of the endpoint (EndpointKeyOf()); zero with Request.
  std::uint32_t leaseMs = 0;  ///< The request has ended after this time.
  float work =
    1; ///< Expected work, in units of which a pool's endpoints do equally many per second.
  std::uint32_t memoryTokens = 0; ///< Tokens of the endpoint's memory that it takes; zero for none.

  /// With Complete: how long the request took, measured by the sender; zero if unknown.
  std::uint32_t heldMs = 0;

  // With Request only
  std::uint32_t waitMs =
    0; ///< How long the reply may be held back; zero to be granted now or not at all.
  std::uint32_t ageMs = 0; ///< Since the arrival of the request.
  std::uint32_t targetMs =
    0; ///< Until the response should begin to arrive; zero if it is late already.
  std::uint32_t budgetMs = 0;          ///< Until the response is no longer useful.
  std::int32_t priority = 0;           ///< Higher values are served first.
  std::uint64_t account = 0;           ///< Hash of the client account.
  float weight = 1;                    ///< Weight of the account; positive.
  std::vector<std::uint64_t> excluded; ///< Keys of the pool's endpoints that the sender cannot use.

  std::uint64_t grantedBy = 0; ///< The owner that granted the slot; not sent. See SlotReply::owner.

  /// Whether a message from another daemon has no impossible values.
  [[nodiscard]] bool IsValid() const
  {
    return this->action <= SlotAction::Reject && std::isfinite(this->work) && this->work > 0 &&
           std::isfinite(this->weight) && this->weight > 0;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->pool, this->run, this->lease, this->action, this->endpoint, this->leaseMs,
             this->work, this->memoryTokens);
    if (this->action == SlotAction::Complete) {
      aArchive(this->heldMs);
    }
    if (this->action == SlotAction::Request) {
      aArchive(this->waitMs, this->ageMs, this->targetMs, this->budgetMs, this->priority,
               this->account, this->weight);
      SerializeList<std::uint16_t>(aArchive, this->excluded);
    }
  }
};

/// An owner's reply.
enum class SlotAnswer : std::uint8_t
{
  NotOwner, ///< This daemon does not own the pool or knows no endpoint of it.
  Granted,  ///< The request may be sent to `endpoint` now; the slot is taken until it ends.
  Waiting,  ///< It keeps its turn; poll again at once.
  Refused,  ///< It will not get a slot in time here.
  Applied,  ///< To any message but a Request: this daemon owns the pool.
};

struct SlotReply
{
  SlotAnswer answer = SlotAnswer::NotOwner;
  std::uint64_t endpoint = 0;       ///< With Granted.
  std::uint32_t expectedWaitMs = 0; ///< With Refused: when a slot would be expected.
  std::uint32_t retryAfterMs = 0;   ///< With Refused: when a later request would be queued.
  std::uint64_t owner = 0;          ///< Key of the daemon that replied; zero for this one.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->answer, this->endpoint, this->expectedWaitMs, this->retryAfterMs, this->owner);
  }
};

} // namespace lagoonward
