#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// A time interval during which a record source responded to requests. Intervals observed by several daemons are merged
/// if they overlap or the pause between them is short.
struct AvailabilityInterval
{
  TimePoint since = TimePoint::min(); ///< Both are TimePoint::min() while no interval is known.
  TimePoint until = TimePoint::min();

  /// Merges another interval. If the two cannot be merged, the one that ends later is kept.
  /// @param aGap  longest pause between two intervals in which no outage can have been missed
  void Add(const AvailabilityInterval& aOther, Milliseconds aGap);

  /// Whether the source responded during the whole time from aSince to aUntil.
  [[nodiscard]] bool Covers(TimePoint aSince, TimePoint aUntil) const;
};

} // namespace lagoonward
