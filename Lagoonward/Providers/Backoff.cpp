#include "Lagoonward/Providers/Backoff.h"

#include <algorithm>

namespace lagoonward {

Backoff::Backoff(BackoffSettings aSettings, std::uint64_t aSeed)
  : settings(aSettings)
  , bound(aSettings.initialDelay)
  , random(aSeed)
{
}

Milliseconds
Backoff::Next(const Error& aError)
{
  const auto upper = this->bound.count();
  std::uniform_int_distribution<Milliseconds::rep> distribution(upper / 2, upper);
  const Milliseconds delay(distribution(this->random));
  this->bound = std::min(this->bound * 2, this->settings.maximumDelay);
  return std::max(delay, aError.retryAfter.value_or(Milliseconds(0)));
}

void
Backoff::Reset()
{
  this->bound = this->settings.initialDelay;
}

} // namespace lagoonward
