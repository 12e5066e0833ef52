#pragma once

#include <chrono>

namespace lagoonward::standins {

/// Token bucket that holds one second's worth. Not thread safe.
class RateLimit
{
public:
  explicit RateLimit(double aPerSecond);

  /// Takes one token if there is one.
  [[nodiscard]] bool Take();

private:
  double perSecond;
  double tokens;
  std::chrono::steady_clock::time_point filled;
};

} // namespace lagoonward::standins
