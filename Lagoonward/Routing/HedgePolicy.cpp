#include "Lagoonward/Routing/HedgePolicy.h"

#include <algorithm>

namespace lagoonward {

namespace {

TimePoint::duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

bool
ShouldHedge(const HedgeState& aState, TimePoint aNow, const HedgeSettings& aSettings)
{
  // A second attempt that is predicted to miss the deadline would only waste endpoint time
  return aNow >= HedgeTime(aState, aSettings) &&
         aNow + ToDuration(aState.secondAttemptSeconds) <= aState.deadline;
}

TimePoint
HedgeTime(const HedgeState& aState, const HedgeSettings& aSettings)
{
  if (!aState.repeatable || aState.hasFirstToken || aState.deadline == TimePoint::max()) {
    return TimePoint::max();
  }
  const TimePoint overdue =
    aState.dispatchedAt + ToDuration(aState.firstTokenSeconds * aSettings.overdueFactor);
  const TimePoint lastMoment =
    aState.deadline - ToDuration(aState.secondAttemptSeconds * aSettings.durationMargin);
  return std::max(overdue, lastMoment);
}

} // namespace lagoonward
