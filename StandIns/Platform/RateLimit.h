#pragma once

#include <chrono>

namespace lagoonward::standins {

/// Token bucket with a capacity of one second's tokens, at least one. Not thread-safe.
class RateLimit
{
public:
  explicit RateLimit(double aPerSecond);

  /// Consumes one token. Returns false if there is none.
  [[nodiscard]] bool TryConsume();

private:
  double perSecond;
  double tokens;
  std::chrono::steady_clock::time_point filled;
};

} // namespace lagoonward::standins
