#include "Lagoonward/Daemon/DrainSchedule.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// A load balancer that probes once a second removes a daemon after two failed probes; the rest covers the latency of
/// these.
constexpr Milliseconds kBalancerDetectionTime{ 2500 };

/// Requests are accepted for at most the grace period divided by this, so that as much is left for them.
constexpr int kAcceptanceDivisor = 2;

/// Time left between the last response and the forced termination, for the responses to reach their callers...
constexpr Milliseconds kResponseFlushMargin{ 900 };

/// ...at most the grace period divided by this: requests may use nearly all of a short one, too.
constexpr int kFlushMarginDivisor = 8;

} // namespace

DrainSchedule
MakeDrainSchedule(Milliseconds aGrace)
{
  DrainSchedule schedule;
  schedule.abandonAfter = aGrace - std::min(kResponseFlushMargin, aGrace / kFlushMarginDivisor);
  // New connections are answered until the load balancer has noticed the drain, even if only by a rejection
  schedule.stopListeningAfter = std::min(kBalancerDetectionTime, schedule.abandonAfter);
  schedule.rejectAfter = std::min(kBalancerDetectionTime, aGrace / kAcceptanceDivisor);
  return schedule;
}

} // namespace lagoonward
