#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Settings for moving streams off leaving endpoints. Scores are in tokens: one unit is one recomputed
/// token.
struct ReclaimSettings
{
  /// A stream must have left its endpoint this long before the endpoint may terminate.
  Milliseconds safetyMargin{ 1'500 };

  /// Fixed time of one export, import or new attempt, in addition to transfer and prefill.
  Milliseconds stepOverhead{ 60 };

  /// A stream finishes in place only if its expected remaining time, times this factor, fits before
  /// the endpoint terminates. The remaining time is an estimate; a stream that exceeds it is moved by a later
  /// plan.
  double finishFactor = 1.25;

  /// Interval between plans while any endpoint is leaving. Each new notice triggers a plan immediately.
  Milliseconds replanInterval{ 500 };

  /// Cost, in tokens, of one second without output to the caller.
  double tokensPerGapSecond = 40;

  /// Cost, in tokens, of a missed deadline.
  double tokensPerMissedDeadline = 50'000;

  /// Cost, in tokens, of transferring one gigabyte. Keeps short prefixes from being exported.
  double tokensPerGigabyte = 10;

  /// Cost, in tokens, that each move already planned to a target adds for the next one.
  double tokensPerPlannedMove = 25;

  /// Most moves to one target in one plan. Limits the load peak on a single endpoint.
  int maxMovesPerTarget = 12;

  /// Number of targets without a cached prefix that are scored for one stream. They are selected by rendezvous
  /// hash so that daemons, which plan independently, do not all choose the same one.
  int uncachedCandidates = 6;

  /// Fraction of a failure domain's hosts under notice from which the whole domain counts as leaving.
  double domainLeavingRatio = 0.5;

  /// Least number of hosts under notice for domainLeavingRatio to apply.
  int domainLeavingMinHosts = 2;

  /// Grace period assumed if only the host list or the endpoint itself reports that it is leaving.
  Milliseconds defaultGrace{ 10'000 };
};

} // namespace lagoonward
