#pragma once

#include "Lagoonward/Admission/PooledBucket.h"
#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Everything tunable about admission. A pressure of 1 means that every sequence of the endpoints
/// is taken; above, requests wait there.
struct AdmissionSettings
{
  double equalPart = 0.2;            ///< Part of a limit that is split evenly, whatever the demand.
  Milliseconds peerTimeout{ 5000 };  ///< A peer not heard of for so long no longer counts.
  Milliseconds demandWindow{ 2000 }; ///< Time over which demand is averaged.
  double burstSeconds = 2; ///< Tokens that a client may use at once, in seconds of its rate.
  /// How much more than a client's limit all daemons together may let through: what the operator
  /// tolerates, less what requests larger than a daemon's part of the bucket overdraw.
  double limitTolerance = 0; ///< As a part of rate and burst.
  double limitSlack = 0;     ///< Further tokens at once.
  /// Daemons keep one bucket for each client together instead of splitting its rate. Serves a client
  /// whose requests are large beside a daemon's part; needs somebody who carries loans between them.
  bool pooled = false;
  PooledBucketSettings pool;
  double shedFrom = 0.8;     ///< Pressure at which the lowest rank begins to be shed.
  double shedWidth = 0.15;   ///< From there, so much more pressure sheds all of it.
  double shedRankStep = 0.2; ///< Each higher rank begins so much later.
  double shedFairness = 0.2; ///< How much earlier a client at twice its fair share is shed.
  double missShift =
    0.5; ///< How much earlier a rank is shed while it or a higher one misses targets.
  double missFloor = 0.5;   ///< Misses shed nothing below this pressure.
  double missFull = 0.05;   ///< Part of missed targets at which the whole shift applies.
  double missWeight = 0.02; ///< Weight of the newest answer in the averaged part of misses.
  Milliseconds retryAfterFloor{ 200 };     ///< Shortest Retry-After that is given.
  Milliseconds retryAfterCeiling{ 30000 }; ///< Longest.
};

/// Retries allowed to one deployment: a share of what succeeds, so that a fault cannot multiply the load.
struct RetryBudgetSettings
{
  double perSuccess = 0.1; ///< Retries earned by one successful request.
  double perSecond = 1;    ///< Retries earned by time alone, over the whole deployment.
  double capacity = 20;    ///< Most that can be saved up, over the whole deployment.
};

} // namespace lagoonward
