#include "Lagoonward/Admission/RetryBudget.h"

#include <algorithm>

namespace lagoonward {

RetryBudget::RetryBudget(const RetryBudgetSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , retries(aSettings.capacity)
  , filledAt(aClock.Now())
{
}

void
RetryBudget::SetLiveDaemons(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->liveDaemons = std::max(aCount, 1);
  this->Earn(0);
}

void
RetryBudget::OnSuccess()
{
  const std::lock_guard lock(this->mutex);
  this->Earn(this->settings.perSuccess);
}

bool
RetryBudget::TryTake()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const double seconds = std::chrono::duration<double>(now - this->filledAt).count();
  this->filledAt = now;
  this->Earn(seconds * this->settings.perSecond / this->liveDaemons);
  if (this->retries < 1) {
    return false;
  }
  this->retries -= 1;
  return true;
}

double
RetryBudget::Capacity() const
{
  // A part of less than one could never be spent
  return std::max(this->settings.capacity / this->liveDaemons, 1.0);
}

void
RetryBudget::Earn(double aRetries)
{
  this->retries = std::min(this->retries + aRetries, this->Capacity());
}

} // namespace lagoonward
