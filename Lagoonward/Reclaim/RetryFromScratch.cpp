#include "Lagoonward/Reclaim/RetryFromScratch.h"

#include <algorithm>
#include <map>

namespace lagoonward {

namespace {

/// Whether the target may take a stream that lists it.
bool
IsUsable(const MoveTarget& aTarget, const StreamView& aStream)
{
  return !aTarget.leaving && !aTarget.domainGoing && aTarget.endpoint != aStream.endpoint;
}

/// Time that aTokens take at aRate tokens a second.
TimePoint::duration
SpanOf(double aTokens, double aRate)
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
      plan.startAt = std::max(aNow, stream.goneAfter);
      const double prompt = std::max(0, stream.promptTokens - cached);
      plan.recomputedTokens = prompt + stream.generatedTokens;
      const auto gap = SpanOf(prompt, best->prefillTokensPerSecond) +
                       SpanOf(stream.generatedTokens, best->tokensPerSecond);
      plan.readyAt = plan.startAt + gap;
      plan.expectedGap = std::chrono::duration_cast<Milliseconds>(gap);
    }
    plans.push_back(std::move(plan));
  }
  return plans;
}

} // namespace lagoonward
