#pragma once

#include "Lagoonward/Core/Clock.h"

#include <map>

namespace lagoonward {

/// Work that arrives per second, by priority, averaged over a time window. Not thread-safe.
class ArrivalRates
{
public:
  ArrivalRates(Milliseconds aWindow, const Clock& aClock);

  void OnArrived(int aPriority, double aWork);

  /// Work per second of higher priorities than that one.
  [[nodiscard]] double Above(int aPriority) const;

private:
  struct Rate
  {
    double work = 0; ///< Exponentially decaying sum.
    TimePoint at;    ///< As of this time.
  };

  [[nodiscard]] double WorkNow(const Rate& aRate) const;

  Milliseconds window;
  const Clock& clock;
  std::map<int, Rate> rates; ///< By priority.
};

} // namespace lagoonward
