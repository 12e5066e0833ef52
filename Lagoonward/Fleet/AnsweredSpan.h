#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// A span during which a source of records answered whoever asked it. Spans that several daemons have seen join into one
/// where they overlap or nearly do.
struct AnsweredSpan
{
  TimePoint since = TimePoint::min(); ///< Both are TimePoint::min() while nothing is known.
  TimePoint until = TimePoint::min();

  /// Takes in another span.
  /// @param aGap  a pause between two spans in which nothing can have been missed
  void Add(const AnsweredSpan& aOther, Milliseconds aGap);

  /// Whether the source answered from one moment to another.
  [[nodiscard]] bool Covers(TimePoint aSince, TimePoint aUntil) const;
};

} // namespace lagoonward
