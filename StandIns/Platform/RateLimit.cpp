#include "StandIns/Platform/RateLimit.h"

#include <algorithm>

namespace lagoonward::standins {

RateLimit::RateLimit(double aPerSecond)
  : perSecond(aPerSecond)
  , tokens(std::max(1.0, aPerSecond))
  , filled(std::chrono::steady_clock::now())
{
}

bool
RateLimit::TryConsume()
{
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - this->filled;
  this->filled = now;
  this->tokens =
    std::min(std::max(1.0, this->perSecond), this->tokens + elapsed.count() * this->perSecond);
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

} // namespace lagoonward::standins
