#include "Lagoonward/Reclaim/RetryFromScratch.h"

#include <algorithm>
#include <map>

namespace lagoonward {

namespace {

/// Whether the target can accept a stream that lists it as a candidate.
bool
IsUsable(const MoveTarget& aTarget, const StreamView& aStream)
{
  return !aTarget.leaving && !aTarget.domainLeaving && aTarget.endpoint != aStream.endpoint;
}

/// Time to process aTokens at aRate tokens per second.
TimePoint::duration
DurationOf(double aTokens, double aRate)
{
  const std::chrono::duration<double> span(aTokens / std::max(aRate, 1e-3));
  return std::chrono::duration_cast<TimePoint::duration>(span);
}

} // namespace

std::vector<MovePlan>
RetryFromScratch::PlanMoves(std::span<const StreamView> aStreams,
                            std::span<const MoveTarget> aTargets,
                            const ManifestObjective& /*aObjective*/, TimePoint aNow) const
{
  std::map<std::string, int> slots;
  for (const MoveTarget& target : aTargets) {
    slots[target.endpoint] = target.freeSlots;
  }

  std::vector<MovePlan> plans;
  plans.reserve(aStreams.size());
  for (const StreamView& stream : aStreams) {
    MovePlan plan;
    plan.stream = stream.id;

    // Most free slots among the candidates
    const MoveTarget* best = nullptr;
    int cached = 0;
    for (const MoveCandidate& candidate : stream.candidates) {
      const auto found =
        std::find_if(aTargets.begin(), aTargets.end(), [&](const MoveTarget& aTarget) {
          return aTarget.endpoint == candidate.endpoint;
        });
      if (found == aTargets.end() || !IsUsable(*found, stream)) {
        continue;
      }
      if (best == nullptr || slots[found->endpoint] > slots[best->endpoint]) {
        best = &*found;
        cached = candidate.cachedTokens;
      }
    }
    if (best != nullptr) {
      --slots[best->endpoint];
      plan.kind = MoveKind::Reprefill;
      plan.target = best->endpoint;
      plan.startAt = std::max(aNow, stream.availableUntil);
      const double uncachedPrompt = std::max(0, stream.promptTokens - cached);
      plan.recomputedTokens = uncachedPrompt + stream.generatedTokens;
      const auto gap = DurationOf(uncachedPrompt, best->prefillTokensPerSecond) +
                       DurationOf(stream.generatedTokens, best->tokensPerSecond);
      plan.readyAt = plan.startAt + gap;
      plan.expectedGap = std::chrono::duration_cast<Milliseconds>(gap);
    }
    plans.push_back(std::move(plan));
  }
  return plans;
}

} // namespace lagoonward
