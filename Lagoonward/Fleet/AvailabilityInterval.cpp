#include "Lagoonward/Fleet/AvailabilityInterval.h"

#include <algorithm>

namespace lagoonward {

void
AvailabilityInterval::Add(const AvailabilityInterval& aOther, Milliseconds aGap)
{
  if (aOther.until == TimePoint::min()) {
    return;
  }
  const bool isKnown = this->until != TimePoint::min();
  const bool canMerge =
    isKnown && aOther.since <= this->until + aGap && this->since <= aOther.until + aGap;
  if (canMerge) {
    this->since = std::min(this->since, aOther.since);
    this->until = std::max(this->until, aOther.until);
  } else if (aOther.until > this->until) {
    *this = aOther;
  }
}

bool
AvailabilityInterval::Covers(TimePoint aSince, TimePoint aUntil) const
{
  return this->until != TimePoint::min() && this->since <= aSince && aUntil <= this->until;
}

} // namespace lagoonward
