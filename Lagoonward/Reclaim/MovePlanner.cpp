#include "Lagoonward/Reclaim/MovePlanner.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Reclaim/MoveReservations.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <unordered_map>

namespace lagoonward {

namespace {

using Duration = TimePoint::duration;

constexpr double kBytesPerGigabyte = 1e9;

/// Time to process aAmount at aRate per second, at most one day.
Duration
DurationOf(double aAmount, double aRate)
{
  constexpr double kLongestSeconds = 86'400;
  const double seconds = aAmount <= 0 ? 0 : aAmount / std::max(aRate, 1e-3);
  const std::chrono::duration<double> span(std::min(seconds, kLongestSeconds));
  return std::chrono::duration_cast<Duration>(span);
}

double
SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// A possible plan and its cost in tokens.
struct Option
{
  MovePlan plan;
  double score = std::numeric_limits<double>::infinity();
};

/// The state of one call of the planner.
class Planning
{
public:
  Planning(const ReclaimSettings& aSettings, std::span<const MoveTarget> aTargets,
           const ManifestObjective& aObjective, TimePoint aNow);

  /// Chooses the plan of one stream and reserves its resources.
  [[nodiscard]] MovePlan Choose(const StreamView& aStream);

private:
  [[nodiscard]] TimePoint LatestSafeTime(const StreamView& aStream) const;
  [[nodiscard]] const MoveTarget* FindUsable(const std::string& aEndpoint,
                                             const StreamView& aStream) const;
  [[nodiscard]] bool FinishesInPlace(const StreamView& aStream) const;
  [[nodiscard]] bool ContinuesMove(const StreamView& aStream) const;
  [[nodiscard]] std::vector<MoveCandidate> SelectCandidates(const StreamView& aStream) const;
  [[nodiscard]] Option EvaluateExport(const StreamView& aStream, const MoveTarget& aTarget) const;
  [[nodiscard]] Option EvaluateReprefill(const StreamView& aStream, const MoveTarget& aTarget,
                                         int aCached) const;
  void Score(Option& aOption, const StreamView& aStream, const MoveTarget& aTarget,
             Duration aGap) const;

  const ReclaimSettings& settings;
  const ManifestObjective& objective;
  TimePoint now;
  std::unordered_map<std::string, const MoveTarget*> targets;
  double lowestPrice = 0; ///< Lowest price of any target, zero if none is known.
  MoveReservations reservations;
};

Planning::Planning(const ReclaimSettings& aSettings, std::span<const MoveTarget> aTargets,
                   const ManifestObjective& aObjective, TimePoint aNow)
  : settings(aSettings)
  , objective(aObjective)
  , now(aNow)
{
  for (const MoveTarget& target : aTargets) {
    this->targets.emplace(target.endpoint, &target);
    if (target.pricePerHour > 0 &&
        (this->lowestPrice <= 0 || target.pricePerHour < this->lowestPrice)) {
      this->lowestPrice = target.pricePerHour;
    }
  }
}

TimePoint
Planning::LatestSafeTime(const StreamView& aStream) const
{
  return aStream.availableUntil - this->settings.safetyMargin;
}

const MoveTarget*
Planning::FindUsable(const std::string& aEndpoint, const StreamView& aStream) const
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end() || aEndpoint == aStream.endpoint) {
    return nullptr;
  }
  const MoveTarget& target = *found->second;
  const int plannedMoves = this->reservations.PlannedMoves(aEndpoint);
  const bool full =
    plannedMoves >= target.freeSlots || plannedMoves >= this->settings.maxMovesPerTarget;
  return target.leaving || target.domainLeaving || full ? nullptr : &target;
}

bool
Planning::FinishesInPlace(const StreamView& aStream) const
{
  const Duration remaining =
    DurationOf(aStream.expectedRemaining * this->settings.finishFactor, aStream.tokensPerSecond);
  return this->now + remaining <= this->LatestSafeTime(aStream);
}

bool
Planning::ContinuesMove(const StreamView& aStream) const
{
  if (!aStream.inProgress || aStream.inProgress->startAt > this->now) {
    return false;
  }
  // Abandon an export that can no longer end in time
  const bool late = aStream.inProgress->kind == MoveKind::ExportImport &&
                    aStream.inProgress->readyAt > aStream.availableUntil;
  return !late && this->FindUsable(aStream.inProgress->target, aStream) != nullptr;
}

std::vector<MoveCandidate>
Planning::SelectCandidates(const StreamView& aStream) const
{
  std::vector<MoveCandidate> selected;
  std::vector<std::pair<std::uint64_t, const MoveCandidate*>> uncached;
  const std::uint64_t key = HashBytes(aStream.id);
  for (const MoveCandidate& candidate : aStream.candidates) {
    if (this->FindUsable(candidate.endpoint, aStream) == nullptr) {
      continue;
    }
    if (candidate.cachedTokens > 0) {
      selected.push_back(candidate);
    } else {
      uncached.emplace_back(RendezvousWeight(key, HashBytes(candidate.endpoint)), &candidate);
    }
  }

  std::sort(uncached.begin(), uncached.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.first > aRight.first; });
  const auto limit = static_cast<std::size_t>(std::max(1, this->settings.uncachedCandidates));
  for (std::size_t index = 0; index < std::min(limit, uncached.size()); ++index) {
    selected.push_back(*uncached[index].second);
  }
  return selected;
}

Option
Planning::EvaluateExport(const StreamView& aStream, const MoveTarget& aTarget) const
{
  Option option;
  const double rate = std::min(aStream.exportBytesPerSecond, aTarget.importBytesPerSecond);
  if (aStream.kvBytes <= 0 || rate <= 0) {
    return option;
  }

  // Transfers that share a source or a target run one after another
  const TimePoint start =
    this->reservations.EarliestTransfer(aStream.endpoint, aTarget.endpoint, this->now);
  const Duration transfer = DurationOf(static_cast<double>(aStream.kvBytes), rate);
  const TimePoint ready = start + this->settings.stepOverhead + transfer;
  if (ready > this->LatestSafeTime(aStream)) {
    return option;
  }

  // The stream keeps generating during the transfer; the target prefills those tokens
  const double generatedMeanwhile =
    std::min(aStream.expectedRemaining, SecondsOf(ready - start) * aStream.tokensPerSecond);
  option.plan.kind = MoveKind::ExportImport;
  option.plan.startAt = start;
  option.plan.readyAt = ready;
  option.plan.recomputedTokens = generatedMeanwhile;
  const Duration gap =
    this->settings.stepOverhead + DurationOf(generatedMeanwhile, aTarget.prefillTokensPerSecond);
  this->Score(option, aStream, aTarget, gap);
  option.score +=
    this->settings.tokensPerGigabyte * (static_cast<double>(aStream.kvBytes) / kBytesPerGigabyte);
  return option;
}

Option
Planning::EvaluateReprefill(const StreamView& aStream, const MoveTarget& aTarget, int aCached) const
{
  // Hand over as late as the source and the target's prefill queue allow
  const double uncached = std::max(0, aStream.promptTokens + aStream.generatedTokens - aCached);
  const Duration prefill = DurationOf(uncached, aTarget.prefillTokensPerSecond);
  const TimePoint desiredStart =
    this->reservations.LatestHandover(aTarget.endpoint, this->LatestSafeTime(aStream), prefill);
  const TimePoint start = std::max(this->now, desiredStart);
  const bool alive = aStream.availableUntil > this->now;
  const double generatedUntilStart =
    alive ? SecondsOf(start - this->now) * aStream.tokensPerSecond : 0;
  const double additional = std::min(generatedUntilStart, aStream.expectedRemaining);

  Option option;
  option.plan.kind = MoveKind::Reprefill;
  option.plan.startAt = start;
  option.plan.recomputedTokens = uncached + additional;
  const Duration queueDelay =
    std::max(Duration::zero(), std::min(this->now - desiredStart, prefill * 8));
  const Duration gap = this->settings.stepOverhead + queueDelay +
                       DurationOf(uncached + additional, aTarget.prefillTokensPerSecond);
  option.plan.readyAt = start + gap;
  this->Score(option, aStream, aTarget, gap);
  return option;
}

void
Planning::Score(Option& aOption, const StreamView& aStream, const MoveTarget& aTarget,
                Duration aGap) const
{
  aOption.plan.stream = aStream.id;
  aOption.plan.target = aTarget.endpoint;
  aOption.plan.expectedGap = std::chrono::ceil<Milliseconds>(aGap);

  // Expected time of the complete response
  const Duration generationTime = DurationOf(aStream.expectedRemaining, aTarget.tokensPerSecond);
  const TimePoint finishTime = aOption.plan.startAt + aGap + generationTime;
  aOption.plan.missesDeadline = finishTime > aStream.deadline;

  // All terms are in tokens
  const double total = aStream.promptTokens + aStream.generatedTokens + aStream.expectedRemaining;
  const double expectedLoss = aTarget.reclaimChance * total;
  const double priceExcess = this->lowestPrice > 0 && aTarget.pricePerHour > 0
                               ? aTarget.pricePerHour / this->lowestPrice - 1
                               : 0;
  const double priceCost =
    priceExcess * (aStream.expectedRemaining + aOption.plan.recomputedTokens);
  aOption.score =
    this->objective.recomputedTokens * (aOption.plan.recomputedTokens + expectedLoss) +
    this->objective.cost * priceCost + this->settings.tokensPerGapSecond * SecondsOf(aGap) +
    this->settings.tokensPerPlannedMove * this->reservations.PlannedMoves(aTarget.endpoint) +
    (aOption.plan.missesDeadline ? this->settings.tokensPerMissedDeadline : 0);
}

MovePlan
Planning::Choose(const StreamView& aStream)
{
  MovePlan chosen;
  chosen.stream = aStream.id;
  chosen.startAt = this->now;
  chosen.readyAt = this->now;

  if (this->ContinuesMove(aStream)) {
    chosen.kind = aStream.inProgress->kind;
    chosen.target = aStream.inProgress->target;
    chosen.startAt = aStream.inProgress->startAt;
    chosen.readyAt = aStream.inProgress->readyAt;
    this->reservations.Reserve(chosen, aStream.endpoint);
    return chosen;
  }
  if (this->FinishesInPlace(aStream)) {
    chosen.kind = MoveKind::FinishInPlace;
    return chosen;
  }

  Option best;
  for (const MoveCandidate& candidate : this->SelectCandidates(aStream)) {
    const MoveTarget& target = *this->FindUsable(candidate.endpoint, aStream);
    for (Option& option :
         std::vector<Option>{ this->EvaluateExport(aStream, target),
                              this->EvaluateReprefill(aStream, target, candidate.cachedTokens) }) {
      if (option.score < best.score) {
        best = std::move(option);
      }
    }
  }
  if (best.plan.target.empty()) {
    return chosen;
  }
  this->reservations.Reserve(best.plan, aStream.endpoint);
  return best.plan;
}

/// Order in which streams are planned: streams with a move in progress first, then by the end of their endpoint,
/// then by prompt and generated tokens, most first. Ties are broken by id.
bool
IsPlannedBefore(const StreamView& aLeft, const StreamView& aRight)
{
  const bool leftPlanned = aLeft.inProgress.has_value();
  const bool rightPlanned = aRight.inProgress.has_value();
  if (leftPlanned != rightPlanned) {
    return leftPlanned;
  }
  if (aLeft.availableUntil != aRight.availableUntil) {
    return aLeft.availableUntil < aRight.availableUntil;
  }
  const int leftTokens = aLeft.promptTokens + aLeft.generatedTokens;
  const int rightTokens = aRight.promptTokens + aRight.generatedTokens;
  return leftTokens != rightTokens ? leftTokens > rightTokens : aLeft.id < aRight.id;
}

} // namespace

MovePlanner::MovePlanner(const ReclaimSettings& aSettings)
  : settings(aSettings)
{
}

std::vector<MovePlan>
MovePlanner::PlanMoves(std::span<const StreamView> aStreams, std::span<const MoveTarget> aTargets,
                       const ManifestObjective& aObjective, TimePoint aNow) const
{
  std::vector<std::size_t> order(aStreams.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return IsPlannedBefore(aStreams[aLeft], aStreams[aRight]);
  });

  std::vector<MovePlan> plans(aStreams.size());
  Planning planning(this->settings, aTargets, aObjective, aNow);
  for (const std::size_t index : order) {
    plans[index] = planning.Choose(aStreams[index]);
  }
  return plans;
}

} // namespace lagoonward
