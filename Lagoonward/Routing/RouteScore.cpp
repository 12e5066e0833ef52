#include "Lagoonward/Routing/RouteScore.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

/// Probability that a value, predicted with a relative error of about aSpread, exceeds its target.
double
MissProbability(double aPredicted, Milliseconds aTarget, double aSpread)
{
  if (aTarget <= Milliseconds::zero()) {
    return 0;
  }
  const double target = ToSeconds(aTarget);
  return 1 / (1 + std::exp((target - aPredicted) / (aSpread * target)));
}

/// Excess of a prediction over its target, as a multiple of the target.
double
RelativeExcess(double aPredicted, Milliseconds aTarget)
{
  if (aTarget <= Milliseconds::zero()) {
    return 0;
  }
  return std::max(aPredicted / ToSeconds(aTarget) - 1, 0.0);
}

/// Predicted wait in seconds until a sequence of the endpoint is free for the request.
double
SequenceWaitSeconds(const EndpointEstimate& aEstimate, const RouteRequest& aRequest, int aRank,
                    const RoutingSettings& aSettings)
{
  const double reserved = aRank == 0 ? aSettings.reservedFraction : 0;
  const double usable = aEstimate.speed.sequences * (1 - reserved);
  const double excess = aEstimate.sequences + 1 - usable;
  if (excess <= 0 || aEstimate.mayPreempt) {
    return 0;
  }

  // The sequences ahead are assumed to finish one after another, each after an output of the same length as this one
  const double secondsPerAnswer = std::max(aRequest.expectedOutputTokens, 1) *
                                  aEstimate.speed.StepSeconds(aEstimate.speed.sequences);
  return excess * secondsPerAnswer / aEstimate.speed.sequences;
}

} // namespace

int
EnginePriority(int aRank, double aUncachedTokens)
{
  constexpr double kShortPrefillTokens = 1024;
  return aRank * 2 + (aUncachedTokens <= kShortPrefillTokens ? 1 : 0);
}

RouteScore
ScoreEndpoint(const EndpointEstimate& aEstimate, const RouteRequest& aRequest, int aRank,
              double aMeanPrice, const RoutingSettings& aSettings)
{
  RouteScore score;
  const MachineSpeed& speed = aEstimate.speed;
  const double output = std::max(aRequest.expectedOutputTokens, 1);

  // Predictions
  const double reused = aEstimate.cachedTokens + aEstimate.fetchedTokens;
  const double uncached = std::max(aRequest.promptTokens - reused, 0.0);
  const double fetchSeconds = aEstimate.fetchedTokens * aEstimate.fetchSecondsPerToken;
  const double prefill = uncached * speed.prefillSecondsPerToken + fetchSeconds;
  const double batch = std::min(aEstimate.sequences + 1, speed.sequences);
  const double promptSeconds =
    (uncached + aEstimate.queuedPrefillTokens) * speed.PrefillSeconds(batch - 1);
  score.betweenTokensSeconds = speed.StepSeconds(batch);
  score.firstTokenSeconds = aSettings.networkSeconds + fetchSeconds + promptSeconds +
                            score.betweenTokensSeconds +
                            SequenceWaitSeconds(aEstimate, aRequest, aRank, aSettings);
  score.finishSeconds = score.firstTokenSeconds + output * score.betweenTokensSeconds;

  // Price of the engine time that the request adds, including the part of the step base not shared with other sequences
  const double baseShare =
    aSettings.packing / std::pow(aEstimate.sequences + 1, aSettings.packingPower);
  const double decode = output * (speed.stepPerSequenceSeconds + baseShare * speed.stepBaseSeconds);
  score.cost.prefill = aEstimate.pricePerSecond * prefill;
  score.cost.decode = aEstimate.pricePerSecond * decode;

  // The cost of a missed target is the same at all endpoints
  const double firstTokenMiss =
    MissProbability(score.firstTokenSeconds, aRequest.firstToken, aSettings.spread);
  const double betweenTokensMiss =
    MissProbability(score.betweenTokensSeconds, aRequest.betweenTokens, aSettings.spread);
  double missCost = aMeanPrice * aSettings.missEngineSeconds;
  for (int rank = 0; rank < aRank; ++rank) {
    missCost *= aSettings.missRankFactor;
  }
  const double firstTokenExcess = RelativeExcess(score.firstTokenSeconds, aRequest.firstToken);
  score.cost.miss =
    missCost * (firstTokenMiss + betweenTokensMiss - firstTokenMiss * betweenTokensMiss +
                aSettings.overdueWeight * firstTokenExcess);

  // Tokens to recompute if the host is reclaimed: the prompt and on average half of the output
  const double reclaimProbability =
    std::min(aEstimate.reclaimsPerSecond * score.finishSeconds, 1.0);
  const double recomputedTokenCost = aMeanPrice * speed.prefillSecondsPerToken *
                                     aSettings.recomputedTokenWeight * 2 *
                                     aRequest.objective.recomputedTokens;
  score.cost.reclaim =
    reclaimProbability * (aRequest.promptTokens + output / 2) * recomputedTokenCost;
  // The cost of one more copy of a prefix is divided among its expected uses
  score.cost.recompute = std::max(aEstimate.bestCachedTokens - reused, 0.0) * recomputedTokenCost /
                         (1 + aEstimate.prefixUses / aSettings.hotPrefixUses);
  score.cost.prefill *= 2 * aRequest.objective.cost;
  score.cost.decode *= 2 * aRequest.objective.cost;

  // A prefix that no endpoint is known to have is routed to its home endpoint, where the other daemons look for it too
  const double uncachedEverywhere =
    std::max(aRequest.promptTokens - aEstimate.bestCachedTokens, 0.0);
  score.cost.locality = -aEstimate.homeWeight * aSettings.homeAffinity * uncachedEverywhere *
                        recomputedTokenCost / std::max(aSettings.recomputedTokenWeight, 1.0);
  score.cost.latency = aMeanPrice * aSettings.latencyWeight * score.finishSeconds;
  score.cost.slowStart = aEstimate.slowStartFactor * aEstimate.sequences * aMeanPrice *
                         score.betweenTokensSeconds * output;
  return score;
}

} // namespace lagoonward
