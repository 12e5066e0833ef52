#pragma once

#include "Lagoonward/Routing/RouteChoice.h"
#include "Lagoonward/Routing/RouteRequest.h"
#include "Lagoonward/Routing/RoutingSettings.h"
#include "Lagoonward/Routing/SpeedModel.h"

namespace lagoonward {

/// What is estimated of one endpoint at the moment of a decision.
struct EndpointEstimate
{
  MachineSpeed speed;
  double pricePerSecond = 0;
  double sequences = 0;    ///< Running and waiting there, own dispatches since the report included.
  double queuedPrefillTokens = 0; ///< Prompt tokens to be computed before this request's.
  double cachedTokens = 0; ///< Of this request's prompt.
  double fetchedTokens =
    0; ///< Of the prompt, beyond the cached ones, that it fetches from another endpoint.
  double fetchSecondsPerToken = 0;
  double bestCachedTokens = 0;  ///< The same at the endpoint that has most of it.
  double prefixUses = 0;        ///< Of the longest known beginning lately, over all daemons.
  double homeWeight = 0;         ///< 1 at the prefix's first home, less at the next, else 0.
  double reclaimsPerSecond = 0; ///< Chance that the host goes.
  double slowStartFactor = 0;           ///< 1 just after it appeared, 0 once slow start is over.
  bool mayPreempt = false;      ///< The request outranks most of what is there.
};

/// An endpoint's score and what it is predicted to do for the request.
struct RouteScore
{
  RouteCost cost;
  double firstTokenSeconds = 0;
  double betweenTokensSeconds = 0;
  double finishSeconds = 0; ///< From now to the last token.
};

/// The priority that is sent along to the engine: the class's rank first, then the shorter prefill first, so that a request whose
/// prefix is cached need not wait for a long document to be read. From 0 to EndpointActivity::kPriorityLevels - 1.
[[nodiscard]] int
EnginePriority(int aRank, double aUncachedTokens);

/// Price and prediction for one request at one endpoint, in one unit: money. Pure; the rules and the
/// figures that keep them are in docs/DECISIONS.md.
/// @param aRank           rank of the request's priority, 0 the lowest
/// @param aMeanPrice      mean price per second of the fleet: what a miss is worth must not depend on the endpoint
[[nodiscard]] RouteScore
ScoreEndpoint(const EndpointEstimate& aEstimate, const RouteRequest& aRequest, int aRank,
              double aMeanPrice, const RoutingSettings& aSettings);

} // namespace lagoonward
