#pragma once

#include "Lagoonward/Routing/RouteChoice.h"
#include "Lagoonward/Routing/RouteRequest.h"
#include "Lagoonward/Routing/RoutingSettings.h"
#include "Lagoonward/Routing/SpeedModel.h"

namespace lagoonward {

/// Estimated state of one endpoint at the time of a decision.
struct EndpointEstimate
{
  MachineSpeed speed;
  double pricePerSecond = 0;
  /// Running and waiting sequences, including dispatches since the load report.
  double sequences = 0;
  double queuedPrefillTokens = 0; ///< Prompt tokens to be computed before those of this request.
  double cachedTokens = 0;        ///< Prompt tokens in the endpoint's cache.
  double fetchedTokens = 0; ///< Further prompt tokens, which are fetched from another endpoint.
  double fetchSecondsPerToken = 0;
  double bestCachedTokens = 0; ///< Cached prompt tokens at the endpoint that has the most.
  double prefixUses = 0; ///< Recent uses of the longest known prefix, estimated over all daemons.
  double homeWeight = 0; ///< 1 at the first home endpoint of the prefix, less at the next, else 0.
  double reclaimsPerSecond = 0; ///< Probability per second that the host is reclaimed.
  /// 1 for an endpoint just added, decreasing to 0 at the end of slow start.
  double slowStartFactor = 0;
  /// The request outranks most requests at the endpoint, so it need not wait for a free sequence.
  bool mayPreempt = false;
};

/// An endpoint's cost terms and predicted times for a request.
struct RouteScore
{
  RouteCost cost;
  double firstTokenSeconds = 0;
  double betweenTokensSeconds = 0;
  double finishSeconds = 0; ///< Predicted time from now to the last token.
};

/// Priority to send to the engine: ordered by the class's rank, then short prefill before long, so that a request whose
/// prefix is cached does not wait for the prefill of a long document. From 0 to EndpointActivity::kPriorityLevels - 1.
[[nodiscard]] int
EnginePriority(int aRank, double aUncachedTokens);

/// Cost and predicted times of one request at one endpoint. All cost terms are in one unit, money. Pure function; the
/// rules and the measurements that support them are in docs/DECISIONS.md.
/// @param aRank       rank of the request's priority, 0 is the lowest
/// @param aMeanPrice  mean price per second of the fleet; used for the cost of a miss, which must not depend on the
///                    endpoint
[[nodiscard]] RouteScore
ScoreEndpoint(const EndpointEstimate& aEstimate, const RouteRequest& aRequest, int aRank,
              double aMeanPrice, const RoutingSettings& aSettings);

} // namespace lagoonward
