#include "Lagoonward/Membership/DelayEstimator.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

DelayEstimator::DelayEstimator(const DelayEstimatorSettings& aSettings)
  : settings(aSettings)
{
}

Milliseconds
DelayEstimator::OnMessage(Milliseconds aSentAt, TimePoint aNow)
{
  const auto now = std::chrono::floor<Milliseconds>(aNow.time_since_epoch());
  const Milliseconds difference = now - aSentAt;
  if (!this->hasSample) {
    this->Restart(difference, aNow);
  }
  if (aNow - this->windowStart >= this->settings.window) {
    this->previousMinimum = std::exchange(this->windowMinimum, difference);
    this->windowStart = aNow;
  }
  this->windowMinimum = std::min(this->windowMinimum, difference);
  const Milliseconds baseDelay = *this->BaseDifference();
  if (difference - baseDelay > this->settings.implausibleDelay) {
    this->Restart(difference, aNow);
    return Milliseconds(0);
  }
  return difference - baseDelay;
}

std::optional<Milliseconds>
DelayEstimator::BaseDifference() const
{
  if (!this->hasSample) {
    return std::nullopt;
  }
  return std::min(this->windowMinimum, this->previousMinimum.value_or(this->windowMinimum));
}

void
DelayEstimator::Restart(Milliseconds aDifference, TimePoint aNow)
{
  this->hasSample = true;
  this->windowMinimum = aDifference;
  this->previousMinimum.reset();
  this->windowStart = aNow;
}

} // namespace lagoonward
