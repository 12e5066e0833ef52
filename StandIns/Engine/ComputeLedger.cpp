#include "StandIns/Engine/ComputeLedger.h"

#include <algorithm>

namespace lagoonward::standins {

namespace {

/// Answers that are remembered.
constexpr std::size_t kAnswersKept = 100000;

} // namespace

std::int64_t
ComputeLedger::Progress::Compute(std::int64_t aFrom, std::int64_t aTo)
{
  const std::lock_guard lock(this->mutex);
  const auto again = std::max<std::int64_t>(0, std::min(this->computed, aTo) - aFrom);
  this->computed = std::max(this->computed, aTo);
  return again;
}

std::shared_ptr<ComputeLedger::Progress>
ComputeLedger::Of(std::uint64_t aAnswerKey)
{
  const std::lock_guard lock(this->mutex);
  auto& progress = this->answers[aAnswerKey];
  if (progress) {
    return progress;
  }
  progress = std::make_shared<Progress>();
  auto result = progress;
  this->order.push_back(aAnswerKey);
  if (this->order.size() > kAnswersKept) {
    this->answers.erase(this->order.front());
    this->order.pop_front();
  }
  return result;
}

} // namespace lagoonward::standins
