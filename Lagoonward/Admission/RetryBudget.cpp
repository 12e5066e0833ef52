#include "Lagoonward/Admission/RetryBudget.h"

#include <algorithm>

namespace lagoonward {

RetryBudget::RetryBudget(const RetryBudgetSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , retries(aSettings.capacity)
  , refilledAt(aClock.Now())
{
}

void
RetryBudget::SetLiveDaemons(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->liveDaemons = std::max(aCount, 1);
  this->AddRetries(0);
}

void
RetryBudget::OnSuccess()
{
  const std::lock_guard lock(this->mutex);
  this->AddRetries(this->settings.perSuccess);
}

bool
RetryBudget::TryConsume()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
  this->refilledAt = now;
  this->AddRetries(seconds * this->settings.perSecond / this->liveDaemons);
  if (this->retries < 1) {
    return false;
  }
  this->retries -= 1;
  return true;
}

double
RetryBudget::Capacity() const
{
  // With a capacity below one, no retry could ever be consumed
  return std::max(this->settings.capacity / this->liveDaemons, 1.0);
}

void
RetryBudget::AddRetries(double aRetries)
{
  this->retries = std::min(this->retries + aRetries, this->Capacity());
}

} // namespace lagoonward
