#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// When a second attempt may run beside the first.
struct HedgeSettings
{
  double durationMargin = 1.5; ///< A second attempt must start while this times its predicted time is left.
  double overdueFactor = 2; ///< The first must be this many times later than predicted.
};

/// One attempt as the hedge policy sees it.
struct HedgeState
{
  bool repeatable = false;    ///< Whether the request may run twice.
  bool hasFirstToken = false; ///< Answers that have begun are resumed, not hedged.
  TimePoint dispatchedAt;
  TimePoint deadline = TimePoint::max();
  double firstTokenSeconds = 0; ///< Predicted for the first attempt.
  double secondAttemptSeconds = 0;      ///< Predicted for a second attempt, from start to last token.
};

/// Whether to send a second attempt to another endpoint now: only requests that may run twice, only
/// when the first is overdue, and only at the last moment at which a second could still make the
/// deadline. The caller then takes the hedge out of the RetryBudget.
[[nodiscard]] bool
ShouldHedge(const HedgeState& aState, TimePoint aNow, const HedgeSettings& aSettings);

/// The earliest moment at which ShouldHedge() can become true; TimePoint::max() for never.
[[nodiscard]] TimePoint
HedgeTime(const HedgeState& aState, const HedgeSettings& aSettings);

} // namespace lagoonward
