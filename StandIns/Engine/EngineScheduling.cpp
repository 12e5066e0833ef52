#include "StandIns/Engine/EngineCore.h"

#include <algorithm>
#include <span>

// The part of EngineCore that selects the running streams and the prompt tokens that a step prefills.

namespace lagoonward::standins {

namespace {

bool
HasHigherPriority(const std::shared_ptr<EngineStream>& aFirst,
                  const std::shared_ptr<EngineStream>& aSecond)
{
  if (aFirst->request.priority != aSecond->request.priority) {
    return aFirst->request.priority > aSecond->request.priority;
  }
  return aFirst->arrival < aSecond->arrival;
}

template<typename Item>
void
EraseValue(std::vector<Item>& aItems, const Item& aItem)
{
  aItems.erase(std::remove(aItems.begin(), aItems.end(), aItem), aItems.end());
}

} // namespace

void
EngineCore::Enqueue(const StreamPointer& aStream)
{
  aStream->state = EngineStream::State::Waiting;
  const auto place =
    std::upper_bound(this->waiting.begin(), this->waiting.end(), aStream, &HasHigherPriority);
  this->waiting.insert(place, aStream);
}

void
EngineCore::Admit()
{
  while (!this->waiting.empty()) {
    const auto next = this->waiting.front();
    if (static_cast<int>(this->running.size()) >= this->settings.maxBatch) {
      const auto victim = this->LowestPriorityRunning();
      if (victim->request.priority >= next->request.priority) {
        return;
      }
      this->Preempt(victim);
    }
    EraseValue(this->waiting, next);
    this->Begin(next);
  }
}

void
EngineCore::Begin(const StreamPointer& aStream)
{
  aStream->state = EngineStream::State::Running;
  this->running.push_back(aStream);
  // Blocks that are in the cache need no prefill
  const auto blocks = std::span<const std::uint64_t>(aStream->chain).subspan(1);
  const auto matched = this->cache.Match(blocks);
  aStream->pinnedBlocks = 0;
  while (aStream->pinnedBlocks < matched && this->cache.Pin(blocks[aStream->pinnedBlocks])) {
    ++aStream->pinnedBlocks;
  }
  const auto cached = static_cast<std::int64_t>(aStream->pinnedBlocks * kBlockTokens);
  this->counters.prefillCached += cached;
  aStream->prefillLeft = std::max<std::int64_t>(1, aStream->position - cached);
}

EngineCore::StreamPointer
EngineCore::LowestPriorityRunning() const
{
  return *std::max_element(this->running.begin(), this->running.end(), &HasHigherPriority);
}

void
EngineCore::Preempt(const StreamPointer& aStream)
{
  ++this->counters.preempted;
  EraseValue(this->running, aStream);
  this->ReleaseBlocks(*aStream);
  this->Enqueue(aStream);
}

std::vector<EngineCore::PrefillSlice>
EngineCore::PlanPrefill() const
{
  auto order = this->running;
  std::sort(order.begin(), order.end(), &HasHigherPriority);
  std::vector<PrefillSlice> slices;
  auto budget = this->settings.prefillChunk;
  for (const auto& stream : order) {
    const auto words = std::min(budget, stream->prefillLeft);
    if (words > 0) {
      slices.push_back({ stream, words });
      budget -= words;
    }
  }
  return slices;
}

void
EngineCore::Unschedule(const StreamPointer& aStream)
{
  EraseValue(this->waiting, aStream);
  EraseValue(this->running, aStream);
}

} // namespace lagoonward::standins
