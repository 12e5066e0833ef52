#include "Lagoonward/Membership/DelayMeter.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

DelayMeter::DelayMeter(const DelayMeterSettings& aSettings)
  : settings(aSettings)
{
}

Milliseconds
DelayMeter::OnMessage(Milliseconds aSentAt, TimePoint aNow)
{
  const auto now = std::chrono::floor<Milliseconds>(aNow.time_since_epoch());
  const Milliseconds difference = now - aSentAt;
  if (!this->hasHeard) {
    this->Restart(difference, aNow);
  }
  if (aNow - this->windowBegan >= this->settings.window) {
    this->earlier = std::exchange(this->least, difference);
    this->windowBegan = aNow;
  }
  this->least = std::min(this->least, difference);
  const Milliseconds quickest = std::min(this->least, this->earlier.value_or(this->least));
  if (difference - quickest > this->settings.implausible) {
    this->Restart(difference, aNow);
    return Milliseconds(0);
  }
  return difference - quickest;
}

void
DelayMeter::Restart(Milliseconds aDifference, TimePoint aNow)
{
  this->hasHeard = true;
  this->least = aDifference;
  this->earlier.reset();
  this->windowBegan = aNow;
}

} // namespace lagoonward
