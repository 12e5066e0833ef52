#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of hedging: when a second attempt may run in parallel with the first.
struct HedgeSettings
{
  /// The second attempt starts no earlier than when its predicted duration times this is left.
  double durationMargin = 1.5;
  /// The first token is overdue after this many times its predicted time.
  double overdueFactor = 2;
};

/// State of a first attempt, and the predicted duration of a second one.
struct HedgeState
{
  bool repeatable = false;    ///< Whether the request may be executed twice.
  bool hasFirstToken = false; ///< A response that has started is resumed, not hedged.
  TimePoint dispatchedAt;
  TimePoint deadline = TimePoint::max();
  double firstTokenSeconds = 0;    ///< Predicted time to first token of the first attempt.
  double secondAttemptSeconds = 0; ///< Predicted for a second attempt, from dispatch to last token.
};

/// Whether to send a second attempt to another endpoint at aNow. True only for requests that may be executed twice,
/// whose first attempt is overdue, and only in the last moments in which a second attempt can still meet the deadline.
/// The caller then charges the hedge to the RetryBudget.
[[nodiscard]] bool
ShouldHedge(const HedgeState& aState, TimePoint aNow, const HedgeSettings& aSettings);

/// Earliest time at which ShouldHedge() can become true; TimePoint::max() if it never does.
[[nodiscard]] TimePoint
HedgeTime(const HedgeState& aState, const HedgeSettings& aSettings);

} // namespace lagoonward
