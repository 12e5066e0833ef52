#pragma once

#include "Lagoonward/Admission/SharedTokenBucket.h"
#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Settings of admission control. A pressure of 1 means that all sequence slots of the endpoints are in use; above 1,
/// requests queue at the endpoints.
struct AdmissionSettings
{
  double evenShare = 0.2; ///< Fraction of a limit that is split evenly, regardless of demand.
  Milliseconds peerTimeout{ 5000 };  ///< A peer that sends nothing for this long is not counted.
  Milliseconds demandWindow{ 2000 }; ///< Time over which demand is averaged.
  double burstSeconds = 2; ///< Default bucket capacity of a client, in seconds of its rate.
  /// How far all daemons together may exceed a client's limit: the operator's tolerance, less the overdraft of requests
  /// larger than one daemon's share of the bucket.
  double limitTolerance = 0; ///< As a fraction of rate and burst.
  double limitSlack = 0;     ///< Additional tokens at once.
  /// All daemons together keep one bucket per client instead of splitting its rate. Needed for a client whose requests
  /// are large relative to one daemon's share; requires a LimitTokenSource that transfers tokens between daemons.
  bool pooled = false;
  SharedTokenBucketSettings pool;
  double shedFrom = 0.8;     ///< Pressure above which requests of the lowest rank are shed.
  double shedWidth = 0.15;   ///< Pressure range over which the shed fraction grows from 0 to 1.
  double shedRankStep = 0.2; ///< Increase of the shedding threshold for each higher rank.
  double shedFairness = 0.2; ///< Decrease of the threshold for a client at twice its fair share.
  double missShift =
    0.5; ///< Largest decrease of the threshold of a rank while it or a higher one misses targets.
  double missFloor = 0.5;   ///< Misses do not lower the threshold below this pressure.
  double missFull = 0.05;   ///< Ratio of missed targets at which the whole of `missShift` applies.
  double missWeight = 0.02; ///< Weight of the newest answer in the averaged ratio of misses.
  Milliseconds retryAfterFloor{ 200 };     ///< Shortest Retry-After sent.
  Milliseconds retryAfterCeiling{ 30000 }; ///< Longest Retry-After sent.
};

/// Settings of the retry budget of one deployment. Retries are limited to a fraction of the successful requests, so
/// that a fault cannot multiply the load.
struct RetryBudgetSettings
{
  double perSuccess = 0.1; ///< Retries earned by one successful request.
  double perSecond = 1;    ///< Retries earned per second, over the whole deployment.
  double capacity = 20;    ///< Largest number of unused retries, over the whole deployment.
};

} // namespace lagoonward
