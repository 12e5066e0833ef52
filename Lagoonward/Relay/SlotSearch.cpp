#include "Lagoonward/Relay/SlotSearch.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Pools that are asked whether they have a free slot.
constexpr std::size_t kProbes = 2;

/// A pool at random, by slots; null if there is none.
const QueuePool*
DrawPool(std::span<const QueuePool* const> aPools, std::uint64_t aRandom)
{
  std::uint64_t slots = 0;
  for (const QueuePool* pool : aPools) {
    slots += static_cast<std::uint64_t>(std::max(pool->slots, 1));
  }
  std::uint64_t left = slots > 0 ? aRandom % slots : 0;
  for (const QueuePool* pool : aPools) {
    const auto own = static_cast<std::uint64_t>(std::max(pool->slots, 1));
    if (left < own) {
      return pool;
    }
    left -= own;
  }
  return nullptr;
}

} // namespace

const SlotSearch::Refusal*
SlotSearch::Find(std::uint64_t aPool) const
{
  const auto found = std::find_if(this->refusals.begin(), this->refusals.end(),
                                  [&](const Refusal& aEach) { return aEach.pool == aPool; });
  return found == this->refusals.end() ? nullptr : &*found;
}

std::optional<SlotSearch::Step>
SlotSearch::Next(std::span<const QueuePool* const> aPools, std::uint64_t aRandom)
{
  this->current.reset();
  std::vector<const QueuePool*> unasked;
  for (const QueuePool* pool : aPools) {
    if (this->Find(pool->key) == nullptr) {
      unasked.push_back(pool);
    }
  }
  // Refusals by pools that are gone say nothing about the others
  const std::size_t asked = aPools.size() - unasked.size();
  if (asked < kProbes && !unasked.empty()) {
    // The only pool need not be compared with another
    const bool mayWait = aPools.size() == 1;
    this->current = Step{ DrawPool(unasked, aRandom)->key, mayWait };
    return this->current;
  }
  const Refusal* best = nullptr;
  for (const QueuePool* pool : aPools) {
    const Refusal* refusal = this->Find(pool->key);
    if (refusal != nullptr && !refusal->mayWait &&
        (best == nullptr || refusal->expectedWaitMs < best->expectedWaitMs)) {
      best = refusal;
    }
  }
  if (best != nullptr) {
    this->current = Step{ best->pool, true };
  }
  return this->current;
}

void
SlotSearch::OnRefused(const SlotReply& aReply)
{
  if (!this->current) {
    return;
  }
  std::erase_if(this->refusals,
                [&](const Refusal& aEach) { return aEach.pool == this->current->pool; });
  this->refusals.push_back(
    { this->current->pool, aReply.expectedWaitMs, aReply.retryAfterMs, this->current->mayWait });
}

Milliseconds
SlotSearch::RetryAfter() const
{
  const auto least = std::min_element(this->refusals.begin(), this->refusals.end(),
                                      [](const Refusal& aLeft, const Refusal& aRight) {
                                        return aLeft.retryAfterMs < aRight.retryAfterMs;
                                      });
  return Milliseconds(least == this->refusals.end() ? 0 : least->retryAfterMs);
}

} // namespace lagoonward
