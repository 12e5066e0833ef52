#include "Lagoonward/Routing/RouteScore.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

/// Chance that a value predicted with a relative error of about aSpread ends up over its target.
double
ChanceOver(double aPredicted, Milliseconds aTarget, double aSpread)
{
  if (aTarget <= Milliseconds::zero()) {
    return 0;
  }
  const double target = ToSeconds(aTarget);
  return 1 / (1 + std::exp((target - aPredicted) / (aSpread * target)));
}

/// By how many times its target a prediction exceeds it.
double
ExcessOver(double aPredicted, Milliseconds aTarget)
{
  if (aTarget <= Milliseconds::zero()) {
    return 0;
  }
  return std::max(aPredicted / ToSeconds(aTarget) - 1, 0.0);
}

/// Time until one of the endpoint's sequences is free for the request.
double
WaitForSequence(const EndpointOutlook& aOutlook, const RouteRequest& aRequest, int aRank,
                const RoutingSettings& aSettings)
{
  const double reserved = aRank == 0 ? aSettings.reservedShare : 0;
  const double usable = aOutlook.speed.sequences * (1 - reserved);
  const double excess = aOutlook.sequences + 1 - usable;
  if (excess <= 0 || aOutlook.mayPreempt) {
    return 0;
  }

  // They leave one after another, each after as long an answer as this one
  const double each = std::max(aRequest.expectedOutputTokens, 1) *
                      aOutlook.speed.StepSeconds(aOutlook.speed.sequences);
  return excess * each / aOutlook.speed.sequences;
}

} // namespace

int
EnginePriority(int aRank, double aUncachedTokens)
{
  constexpr double kShort = 1024;
  return aRank * 2 + (aUncachedTokens <= kShort ? 1 : 0);
}

RouteScore
ScoreEndpoint(const EndpointOutlook& aOutlook, const RouteRequest& aRequest, int aRank,
              double aMeanPrice, const RoutingSettings& aSettings)
{
  RouteScore score;
  const MachineSpeed& speed = aOutlook.speed;
  const double output = std::max(aRequest.expectedOutputTokens, 1);

  // Predictions
  const double kept = aOutlook.cachedTokens + aOutlook.fetchedTokens;
  const double uncached = std::max(aRequest.promptTokens - kept, 0.0);
  const double fetch = aOutlook.fetchedTokens * aOutlook.fetchSecondsPerToken;
  const double prefill = uncached * speed.prefillSecondsPerToken + fetch;
  const double batch = std::min(aOutlook.sequences + 1, speed.sequences);
  const double reading = (uncached + aOutlook.prefillAhead) * speed.PrefillSeconds(batch - 1);
  score.betweenTokensSeconds = speed.StepSeconds(batch);
  score.firstTokenSeconds = aSettings.networkSeconds + fetch + reading +
                            score.betweenTokensSeconds +
                            WaitForSequence(aOutlook, aRequest, aRank, aSettings);
  score.finishSeconds = score.firstTokenSeconds + output * score.betweenTokensSeconds;

  // Engine time: what the request adds to it, and the share of the base that nobody else carries
  const double alone = aSettings.packing / std::pow(aOutlook.sequences + 1, aSettings.packingPower);
  const double decode = output * (speed.stepPerSequenceSeconds + alone * speed.stepBaseSeconds);
  score.cost.prefill = aOutlook.pricePerSecond * prefill;
  score.cost.decode = aOutlook.pricePerSecond * decode;

  // A missed target is worth the same wherever it happens
  const double late = ChanceOver(score.firstTokenSeconds, aRequest.firstToken, aSettings.spread);
  const double slow =
    ChanceOver(score.betweenTokensSeconds, aRequest.betweenTokens, aSettings.spread);
  double worth = aMeanPrice * aSettings.missEngineSeconds;
  for (int rank = 0; rank < aRank; ++rank) {
    worth *= aSettings.missRankFactor;
  }
  const double overdue = ExcessOver(score.firstTokenSeconds, aRequest.firstToken);
  score.cost.miss = worth * (late + slow - late * slow + aSettings.lateness * overdue);

  // Tokens that somebody would have to compute again, half of the answer among them
  const double lossChance = std::min(aOutlook.reclaimsPerSecond * score.finishSeconds, 1.0);
  const double tokenWorth = aMeanPrice * speed.prefillSecondsPerToken *
                            aSettings.recomputedTokenWorth * 2 *
                            aRequest.objective.recomputedTokens;
  score.cost.reclaim = lossChance * (aRequest.promptTokens + output / 2) * tokenWorth;
  // One more copy of a prefix is charged to all those who will use it
  score.cost.recompute = std::max(aOutlook.bestCachedTokens - kept, 0.0) * tokenWorth /
                         (1 + aOutlook.prefixUses / aSettings.hotUses);
  score.cost.prefill *= 2 * aRequest.objective.cost;
  score.cost.decode *= 2 * aRequest.objective.cost;

  // A prefix that nobody is known to have goes home, where the other daemons look for it too
  const double unknown = std::max(aRequest.promptTokens - aOutlook.bestCachedTokens, 0.0);
  score.cost.locality = -aOutlook.homeShare * aSettings.homePull * unknown * tokenWorth /
                        std::max(aSettings.recomputedTokenWorth, 1.0);
  score.cost.latency = aMeanPrice * aSettings.latencyWorth * score.finishSeconds;
  score.cost.slowStart =
    aOutlook.newness * aOutlook.sequences * aMeanPrice * score.betweenTokensSeconds * output;
  return score;
}

} // namespace lagoonward
