#include "StandIns/Engine/ComputeLedger.h"

#include <algorithm>

namespace lagoonward::standins {

namespace {

/// Maximum number of answers that are tracked; the oldest is evicted first.
constexpr std::size_t kMaxAnswers = 100000;

} // namespace

std::int64_t
ComputeLedger::Progress::MarkComputed(std::int64_t aFrom, std::int64_t aTo)
{
  const std::lock_guard lock(this->mutex);
  const auto recomputed = std::max<std::int64_t>(0, std::min(this->computed, aTo) - aFrom);
  this->computed = std::max(this->computed, aTo);
  return recomputed;
}

std::shared_ptr<ComputeLedger::Progress>
ComputeLedger::ProgressFor(std::uint64_t aAnswerKey)
{
  const std::lock_guard lock(this->mutex);
  auto& progress = this->answers[aAnswerKey];
  if (progress) {
    return progress;
  }
  progress = std::make_shared<Progress>();
  auto result = progress;
  this->insertionOrder.push_back(aAnswerKey);
  if (this->insertionOrder.size() > kMaxAnswers) {
    this->answers.erase(this->insertionOrder.front());
    this->insertionOrder.pop_front();
  }
  return result;
}

} // namespace lagoonward::standins
