#include "Lagoonward/Providers/Backoff.h"

#include <algorithm>

namespace lagoonward {

Backoff::Backoff(BackoffSettings aSettings, std::uint64_t aSeed)
  : settings(aSettings)
  , current(aSettings.first)
  , random(aSeed)
{
}

Milliseconds
Backoff::Next(const Error& aError)
{
  const auto most = this->current.count();
  std::uniform_int_distribution<Milliseconds::rep> draw(most / 2, most);
  const Milliseconds delay(draw(this->random));
  this->current = std::min(this->current * 2, this->settings.longest);
  return std::max(delay, aError.retryAfter.value_or(Milliseconds(0)));
}

void
Backoff::Reset()
{
  this->current = this->settings.first;
}

} // namespace lagoonward
