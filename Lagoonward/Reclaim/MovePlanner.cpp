#include "Lagoonward/Reclaim/MovePlanner.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Reclaim/MoveReservations.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <unordered_map>

namespace lagoonward {

namespace {

using Span = TimePoint::duration;

constexpr double kBytesPerGigabyte = 1e9;

/// Time that aAmount takes at aRate a second.
Span
SpanOf(double aAmount, double aRate)
{
  constexpr double kLongestSeconds = 86'400;
  const double seconds = aAmount <= 0 ? 0 : aAmount / std::max(aRate, 1e-3);
  const std::chrono::duration<double> span(std::min(seconds, kLongestSeconds));
  return std::chrono::duration_cast<Span>(span);
}

double
SecondsOf(Span aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// One possible plan and what it would cost, in tokens.
struct Option
{
  MovePlan plan;
  double score = std::numeric_limits<double>::infinity();
};

/// The working state of one call of the planner.
class Planning
{
public:
  Planning(const ReclaimSettings& aSettings, std::span<const MoveTarget> aTargets,
           const ManifestObjective& aObjective, TimePoint aNow);

  /// Chooses for one stream and reserves what it takes.
  [[nodiscard]] MovePlan Choose(const StreamView& aStream);

private:
  [[nodiscard]] TimePoint SafeMoment(const StreamView& aStream) const;
  [[nodiscard]] const MoveTarget* FindUsable(const std::string& aEndpoint,
                                             const StreamView& aStream) const;
  [[nodiscard]] bool FinishesInPlace(const StreamView& aStream) const;
  [[nodiscard]] bool KeepsMove(const StreamView& aStream) const;
  [[nodiscard]] std::vector<MoveCandidate> DrawCandidates(const StreamView& aStream) const;
  [[nodiscard]] Option Export(const StreamView& aStream, const MoveTarget& aTarget) const;
  [[nodiscard]] Option Reprefill(const StreamView& aStream, const MoveTarget& aTarget,
                                 int aCached) const;
  void Score(Option& aOption, const StreamView& aStream, const MoveTarget& aTarget,
             Span aGap) const;

  const ReclaimSettings& settings;
  const ManifestObjective& objective;
  TimePoint now;
  std::unordered_map<std::string, const MoveTarget*> targets;
  double cheapest = 0; ///< Lowest price of any target, zero when none is known.
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
    if (target.pricePerHour > 0 && (this->cheapest <= 0 || target.pricePerHour < this->cheapest)) {
      this->cheapest = target.pricePerHour;
    }
  }
}

TimePoint
Planning::SafeMoment(const StreamView& aStream) const
{
  return aStream.goneAfter - this->settings.safetyMargin;
}

const MoveTarget*
Planning::FindUsable(const std::string& aEndpoint, const StreamView& aStream) const
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end() || aEndpoint == aStream.endpoint) {
    return nullptr;
  }
  const MoveTarget& target = *found->second;
  const int planned = this->reservations.PlannedOnto(aEndpoint);
  const bool full = planned >= target.freeSlots || planned >= this->settings.maxMovesPerTarget;
  return target.leaving || target.domainGoing || full ? nullptr : &target;
}

bool
Planning::FinishesInPlace(const StreamView& aStream) const
{
  const Span rest =
    SpanOf(aStream.expectedRemaining * this->settings.finishFactor, aStream.tokensPerSecond);
  return this->now + rest <= this->SafeMoment(aStream);
}

bool
Planning::KeepsMove(const StreamView& aStream) const
{
  if (!aStream.inProgress || aStream.inProgress->startAt > this->now) {
    return false;
  }
  // An export that cannot end in time any more is given up
  const bool late = aStream.inProgress->kind == MoveKind::ExportImport &&
                    aStream.inProgress->readyAt > aStream.goneAfter;
  return !late && this->FindUsable(aStream.inProgress->target, aStream) != nullptr;
}

std::vector<MoveCandidate>
Planning::DrawCandidates(const StreamView& aStream) const
{
  std::vector<MoveCandidate> drawn;
  std::vector<std::pair<std::uint64_t, const MoveCandidate*>> uncached;
  const std::uint64_t key = HashBytes(aStream.id);
  for (const MoveCandidate& candidate : aStream.candidates) {
    if (this->FindUsable(candidate.endpoint, aStream) == nullptr) {
      continue;
    }
    if (candidate.cachedTokens > 0) {
      drawn.push_back(candidate);
    } else {
      uncached.emplace_back(RendezvousWeight(key, HashBytes(candidate.endpoint)), &candidate);
    }
  }

  std::sort(uncached.begin(), uncached.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.first > aRight.first; });
  const auto limit = static_cast<std::size_t>(std::max(1, this->settings.uncachedCandidates));
  for (std::size_t index = 0; index < std::min(limit, uncached.size()); ++index) {
    drawn.push_back(*uncached[index].second);
  }
  return drawn;
}

Option
Planning::Export(const StreamView& aStream, const MoveTarget& aTarget) const
{
  Option option;
  const double rate = std::min(aStream.exportBytesPerSecond, aTarget.importBytesPerSecond);
  if (aStream.kvBytes <= 0 || rate <= 0) {
    return option;
  }

  // Transfers of one source or one target follow each other
  const TimePoint start =
    this->reservations.EarliestTransfer(aStream.endpoint, aTarget.endpoint, this->now);
  const Span transfer = SpanOf(static_cast<double>(aStream.kvBytes), rate);
  const TimePoint ready = start + this->settings.stepOverhead + transfer;
  if (ready > this->SafeMoment(aStream)) {
    return option;
  }

  // The stream goes on meanwhile; what it generates until then is prefilled at the target
  const double tail =
    std::min(aStream.expectedRemaining, SecondsOf(ready - start) * aStream.tokensPerSecond);
  option.plan.kind = MoveKind::ExportImport;
  option.plan.startAt = start;
  option.plan.readyAt = ready;
  option.plan.recomputedTokens = tail;
  const Span gap = this->settings.stepOverhead + SpanOf(tail, aTarget.prefillTokensPerSecond);
  this->Score(option, aStream, aTarget, gap);
  option.score +=
    this->settings.tokensPerGigabyte * (static_cast<double>(aStream.kvBytes) / kBytesPerGigabyte);
  return option;
}

Option
Planning::Reprefill(const StreamView& aStream, const MoveTarget& aTarget, int aCached) const
{
  // As late as the source and the target's queue allow
  const double held = std::max(0, aStream.promptTokens + aStream.generatedTokens - aCached);
  const Span prefill = SpanOf(held, aTarget.prefillTokensPerSecond);
  const TimePoint wanted =
    this->reservations.LatestCut(aTarget.endpoint, this->SafeMoment(aStream), prefill);
  const TimePoint start = std::max(this->now, wanted);
  const bool alive = aStream.goneAfter > this->now;
  const double until = alive ? SecondsOf(start - this->now) * aStream.tokensPerSecond : 0;
  const double added = std::min(until, aStream.expectedRemaining);

  Option option;
  option.plan.kind = MoveKind::Reprefill;
  option.plan.startAt = start;
  option.plan.recomputedTokens = held + added;
  const Span queued = std::max(Span::zero(), std::min(this->now - wanted, prefill * 8));
  const Span gap =
    this->settings.stepOverhead + queued + SpanOf(held + added, aTarget.prefillTokensPerSecond);
  option.plan.readyAt = start + gap;
  this->Score(option, aStream, aTarget, gap);
  return option;
}

void
Planning::Score(Option& aOption, const StreamView& aStream, const MoveTarget& aTarget,
                Span aGap) const
{
  aOption.plan.stream = aStream.id;
  aOption.plan.target = aTarget.endpoint;
  aOption.plan.expectedGap = std::chrono::ceil<Milliseconds>(aGap);

  // When would the whole answer be there?
  const Span generating = SpanOf(aStream.expectedRemaining, aTarget.tokensPerSecond);
  const TimePoint done = aOption.plan.startAt + aGap + generating;
  aOption.plan.missesDeadline = done > aStream.deadline;

  // All in tokens
  const double held = aStream.promptTokens + aStream.generatedTokens + aStream.expectedRemaining;
  const double lostAgain = aTarget.reclaimChance * held;
  const double dearer =
    this->cheapest > 0 && aTarget.pricePerHour > 0 ? aTarget.pricePerHour / this->cheapest - 1 : 0;
  const double priced = dearer * (aStream.expectedRemaining + aOption.plan.recomputedTokens);
  aOption.score =
    this->objective.recomputedTokens * (aOption.plan.recomputedTokens + lostAgain) +
    this->objective.cost * priced + this->settings.tokensPerGapSecond * SecondsOf(aGap) +
    this->settings.tokensPerPlannedMove * this->reservations.PlannedOnto(aTarget.endpoint) +
    (aOption.plan.missesDeadline ? this->settings.tokensPerMissedDeadline : 0);
}

MovePlan
Planning::Choose(const StreamView& aStream)
{
  MovePlan chosen;
  chosen.stream = aStream.id;
  chosen.startAt = this->now;
  chosen.readyAt = this->now;

  if (this->KeepsMove(aStream)) {
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
  for (const MoveCandidate& candidate : this->DrawCandidates(aStream)) {
    const MoveTarget& target = *this->FindUsable(candidate.endpoint, aStream);
    for (Option& option :
         std::vector<Option>{ this->Export(aStream, target),
                              this->Reprefill(aStream, target, candidate.cachedTokens) }) {
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

/// Order in which streams choose: moves under way first, then those whose endpoint goes first, then
/// those that would lose most. The id settles the rest.
bool
ChoosesBefore(const StreamView& aLeft, const StreamView& aRight)
{
  const bool leftMoves = aLeft.inProgress.has_value();
  const bool rightMoves = aRight.inProgress.has_value();
  if (leftMoves != rightMoves) {
    return leftMoves;
  }
  if (aLeft.goneAfter != aRight.goneAfter) {
    return aLeft.goneAfter < aRight.goneAfter;
  }
  const int leftHeld = aLeft.promptTokens + aLeft.generatedTokens;
  const int rightHeld = aRight.promptTokens + aRight.generatedTokens;
  return leftHeld != rightHeld ? leftHeld > rightHeld : aLeft.id < aRight.id;
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
    return ChoosesBefore(aStreams[aLeft], aStreams[aRight]);
  });

  std::vector<MovePlan> plans(aStreams.size());
  Planning planning(this->settings, aTargets, aObjective, aNow);
  for (const std::size_t index : order) {
    plans[index] = planning.Choose(aStreams[index]);
  }
  return plans;
}

} // namespace lagoonward
