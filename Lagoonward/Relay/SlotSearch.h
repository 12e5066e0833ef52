#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Queueing/QueuePools.h"
#include "Lagoonward/Queueing/SlotMessages.h"

#include <optional>
#include <span>
#include <vector>

namespace lagoonward {

/// Which of a service's pools a request asks for a slot, and in which order: two at random whether one has a free slot, as
/// the better of two choices is nearly as good as the best of all (Mitzenmacher, 2001), then the one with the shorter
/// wait whether the request may wait there, then the other. Not thread-safe.
class SlotSearch
{
public:
  /// A pool to ask, and how.
  struct Step
  {
    std::uint64_t pool = 0;
    bool mayWait = false;
  };

  /// The next step; nothing if the request will not get a slot in time.
  /// @param aPools     pools that can be asked
  /// @param aRandom    uniformly distributed over the range of its type
  [[nodiscard]] std::optional<Step> Next(std::span<const QueuePool* const> aPools,
                                         std::uint64_t aRandom);

  /// The owner of the pool of the last step has refused the request.
  void OnRefused(const SlotReply& aReply);

  /// Shortest time after which a later request might be queued, of the last refusal of each pool.
  [[nodiscard]] Milliseconds RetryAfter() const;

private:
  struct Refusal
  {
    std::uint64_t pool = 0;
    std::uint32_t expectedWaitMs = 0;
    std::uint32_t retryAfterMs = 0;
    bool mayWait = false; ///< The pool was asked whether the request may wait.
  };

  [[nodiscard]] const Refusal* Find(std::uint64_t aPool) const;

  std::vector<Refusal> refusals;
  std::optional<Step> current;
};

} // namespace lagoonward
