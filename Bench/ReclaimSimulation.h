#pragma once

#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Reclaim/ReclaimPolicy.h"
#include "Lagoonward/Reclaim/ReclaimSettings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>

namespace lagoonward::bench {

/// Synthetic fleet and load of the reclaim benchmark. The defaults have Utslipp's size and shape: long
/// dossiers and short queries on nine engines and more in four failure domains.
struct ReclaimScenario
{
  int domains = 4;
  int enginesPerDomain = 4;
  int streamsPerEngine = 14;
  int slotsPerEngine = 40;
  double longShare = 0.6; ///< Fraction of dossiers; the rest are short queries.
  double tokensPerSecond = 30;
  double prefillTokensPerSecond = 8'000;
  double linkBytesPerSecond = 1.25e9; ///< Of each engine's link: 10 Gbit/s.
  double kvBytesPerToken = 131'072;   ///< 32 layers, 8 key-value heads of 128, 16 bits.
  double cachedShare = 0.5; ///< Probability that a second engine has most of a prompt cached.
  /// Log-normal sigma of the error of the expected remaining tokens.
  double remainingErrorSigma = 0.35;
  Milliseconds grace{ 30'000 };
  bool secondDomain = false; ///< Whether a second domain gets its notice during the moves.
  Milliseconds secondNotice{ 10'000 }; ///< Time of the second notice after the first one.
  std::uint64_t seed = 1;
};

/// Measurements of one run.
struct ReclaimOutcome
{
  double recomputedTokens = 0;
  std::array<int, 4> moves{}; ///< By MoveKind, including streams that finished in place.
  double longestGapSeconds = 0;
  int streams = 0;          ///< On engines that were reclaimed.
  int lost = 0;             ///< Streams not finished at the end of the run.
  int movesIntoLeaving = 0; ///< Moves to an engine that already had its reclaim notice.
};

/// Simulates one scenario under one policy in virtual time. The daemon holds the tokens of every stream.
template<ReclaimPolicy Policy>
class ReclaimSimulation
{
public:
  ReclaimSimulation(const Policy& aPolicy, const ReclaimScenario& aScenario, bool aFromScratch);

  [[nodiscard]] ReclaimOutcome Run();

private:
  struct Engine
  {
    std::string id;
    int domain = 0;
    TimePoint availableUntil = TimePoint::max();
    TimePoint prefillBusyUntil;
    TimePoint linkBusyUntil;
  };

  struct Stream
  {
    std::string id;
    int engine = 0;
    double prompt = 0;
    double generated = 0; ///< Tokens relayed to the client and held by the daemon.
    double total = 0;
    double remainingErrorFactor = 0; ///< Factor by which the expected remaining tokens are wrong.
    /// Tokens still to be generated again before the next new one.
    double tokensToRegenerate = 0;
    TimePoint blockedUntil; ///< End of the prefill that the stream waits for.
    TimePoint lastToken;
    TimePoint deadline;
    int cachingEngine = -1;  ///< Engine that has most of the prompt cached; negative for none.
    int transferTarget = -1; ///< Engine index; negative without a transfer in progress.
    TimePoint transferStart;
    TimePoint transferEnd;
    double generatedAtStart = 0;
    bool affected = false;
    bool moved = false;
    bool done = false;
  };

  void Build();
  void GiveReclaimNotice(int aDomain);
  void Generate(Stream& aStream);
  void FinishTransfer(Stream& aStream);
  void Replan();
  void StartMove(Stream& aStream, const MovePlan& aMove);
  void Resume(Stream& aStream, int aTarget, double aPrefillTokens, MoveKind aKind);
  [[nodiscard]] StreamView View(const Stream& aStream) const;
  [[nodiscard]] std::vector<MoveTarget> Targets() const;
  [[nodiscard]] bool HasTerminated(int aEngine) const;
  [[nodiscard]] bool IsLeaving(int aEngine) const;
  [[nodiscard]] TimePoint After(double aSeconds) const;

  static constexpr Milliseconds kTick{ 20 };
  static constexpr Milliseconds kReplanInterval{ 500 };
  static constexpr Milliseconds kMaxRunDuration{ 900'000 };

  const Policy& policy;
  ReclaimScenario scenario;
  bool fromScratch; ///< Moved streams generate their tokens again instead of prefilling them.
  VirtualClock clock;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::vector<Stream> streams;
  ReclaimOutcome outcome;
};

template<ReclaimPolicy Policy>
ReclaimSimulation<Policy>::ReclaimSimulation(const Policy& aPolicy,
                                             const ReclaimScenario& aScenario, bool aFromScratch)
  : policy(aPolicy)
  , scenario(aScenario)
  , fromScratch(aFromScratch)
  , random(aScenario.seed)
{
  this->Build();
}

template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::Build()
{
  for (int domain = 0; domain < this->scenario.domains; ++domain) {
    for (int index = 0; index < this->scenario.enginesPerDomain; ++index) {
      Engine engine;
      engine.id = "engine-" + std::to_string(this->engines.size());
      engine.domain = domain;
      this->engines.push_back(engine);
    }
  }

  std::uniform_real_distribution<double> uniform(0, 1);
  std::normal_distribution<double> error(0, this->scenario.remainingErrorSigma);
  const int count = static_cast<int>(this->engines.size()) * this->scenario.streamsPerEngine;
  for (int index = 0; index < count; ++index) {
    Stream stream;
    const bool isLong = uniform(this->random) < this->scenario.longShare;
    stream.id = "stream-" + std::to_string(index);
    stream.engine = index % static_cast<int>(this->engines.size());
    stream.prompt =
      isLong ? 4'000 + 20'000 * uniform(this->random) : 100 + 700 * uniform(this->random);
    stream.total = isLong ? 800 + 4'000 * uniform(this->random) : 40 + 160 * uniform(this->random);
    stream.generated = stream.total * uniform(this->random);
    stream.remainingErrorFactor = std::exp(error(this->random));
    stream.deadline = this->clock.Now() + std::chrono::minutes(10);
    stream.lastToken = this->clock.Now();
    if (uniform(this->random) < this->scenario.cachedShare) {
      stream.cachingEngine = static_cast<int>(this->random() % this->engines.size());
    }
    this->streams.push_back(stream);
  }
}

template<ReclaimPolicy Policy>
TimePoint
ReclaimSimulation<Policy>::After(double aSeconds) const
{
  return this->clock.Now() +
         std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(aSeconds));
}

template<ReclaimPolicy Policy>
bool
ReclaimSimulation<Policy>::HasTerminated(int aEngine) const
{
  return this->engines[aEngine].availableUntil <= this->clock.Now();
}

template<ReclaimPolicy Policy>
bool
ReclaimSimulation<Policy>::IsLeaving(int aEngine) const
{
  return this->engines[aEngine].availableUntil != TimePoint::max();
}

template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::GiveReclaimNotice(int aDomain)
{
  for (Engine& engine : this->engines) {
    if (engine.domain == aDomain) {
      engine.availableUntil = this->clock.Now() + this->scenario.grace;
    }
  }
}

template<ReclaimPolicy Policy>
StreamView
ReclaimSimulation<Policy>::View(const Stream& aStream) const
{
  StreamView view;
  const Engine& engine = this->engines[aStream.engine];
  view.id = aStream.id;
  view.endpoint = engine.id;
  view.availableUntil = engine.availableUntil;
  view.promptTokens = static_cast<int>(aStream.prompt);
  view.generatedTokens = static_cast<int>(aStream.generated);
  view.expectedRemaining = (aStream.total - aStream.generated) * aStream.remainingErrorFactor;
  view.tokensPerSecond = this->scenario.tokensPerSecond;
  view.deadline = aStream.deadline;
  const double contextTokens = aStream.prompt + aStream.generated;
  view.kvBytes = static_cast<std::int64_t>(contextTokens * this->scenario.kvBytesPerToken);
  view.exportBytesPerSecond = this->scenario.linkBytesPerSecond;
  for (std::size_t index = 0; index < this->engines.size(); ++index) {
    const bool cached = static_cast<int>(index) == aStream.cachingEngine;
    view.candidates.push_back(
      { this->engines[index].id, cached ? static_cast<int>(aStream.prompt * 0.9) : 0 });
  }
  if (aStream.transferTarget >= 0) {
    view.inProgress =
      MoveInProgress{ MoveKind::ExportImport, this->engines[aStream.transferTarget].id,
                      aStream.transferStart, aStream.transferEnd };
  }
  return view;
}

template<ReclaimPolicy Policy>
std::vector<MoveTarget>
ReclaimSimulation<Policy>::Targets() const
{
  std::vector<MoveTarget> targets;
  for (std::size_t index = 0; index < this->engines.size(); ++index) {
    MoveTarget target;
    target.endpoint = this->engines[index].id;
    target.failureDomain = std::to_string(this->engines[index].domain);
    target.leaving = this->IsLeaving(static_cast<int>(index));
    target.domainLeaving = target.leaving;
    const auto running =
      std::count_if(this->streams.begin(), this->streams.end(), [&](auto& aStream) {
        return !aStream.done && aStream.engine == static_cast<int>(index);
      });
    target.freeSlots = this->scenario.slotsPerEngine - static_cast<int>(running);
    target.tokensPerSecond = this->scenario.tokensPerSecond;
    target.prefillTokensPerSecond = this->scenario.prefillTokensPerSecond;
    target.importBytesPerSecond = this->scenario.linkBytesPerSecond;
    targets.push_back(target);
  }
  return targets;
}

/// Advances a stream by one tick: it waits, generates lost tokens again, or generates new tokens.
template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::Generate(Stream& aStream)
{
  if (this->HasTerminated(aStream.engine) || aStream.blockedUntil > this->clock.Now()) {
    return;
  }
  double tokens =
    this->scenario.tokensPerSecond * std::chrono::duration<double>(Seconds(0) + kTick).count();
  const double regenerated = std::min(tokens, aStream.tokensToRegenerate);
  aStream.tokensToRegenerate -= regenerated;
  tokens -= regenerated;
  if (tokens <= 0) {
    return;
  }
  const double gap = std::chrono::duration<double>(this->clock.Now() - aStream.lastToken).count();
  if (aStream.affected) {
    this->outcome.longestGapSeconds = std::max(this->outcome.longestGapSeconds, gap);
  }
  aStream.lastToken = this->clock.Now();
  aStream.generated = std::min(aStream.total, aStream.generated + tokens);
  if (aStream.generated >= aStream.total) {
    aStream.done = true;
    if (aStream.affected && !aStream.moved) {
      ++this->outcome.moves[static_cast<int>(MoveKind::FinishInPlace)];
    }
  }
}

template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::Resume(Stream& aStream, int aTarget, double aPrefillTokens,
                                  MoveKind aKind)
{
  Engine& target = this->engines[aTarget];
  this->outcome.movesIntoLeaving += this->IsLeaving(aTarget) ? 1 : 0;
  const TimePoint start = std::max(this->clock.Now(), target.prefillBusyUntil);
  target.prefillBusyUntil =
    start +
    (this->After(aPrefillTokens / this->scenario.prefillTokensPerSecond) - this->clock.Now());
  aStream.blockedUntil = target.prefillBusyUntil + ReclaimSettings().stepOverhead;
  aStream.engine = aTarget;
  aStream.transferTarget = -1;
  aStream.moved = true;
  aStream.affected = true;
  this->outcome.recomputedTokens += aPrefillTokens;
  ++this->outcome.moves[static_cast<int>(aKind)];
}

template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::FinishTransfer(Stream& aStream)
{
  if (aStream.transferTarget < 0 || aStream.transferEnd > this->clock.Now()) {
    return;
  }
  const int target = aStream.transferTarget;
  aStream.transferTarget = -1;
  // Discard a transfer whose source terminated before its end, or whose target is leaving
  if (this->HasTerminated(aStream.engine) || this->IsLeaving(target)) {
    return;
  }
  this->Resume(aStream, target, aStream.generated - aStream.generatedAtStart,
               MoveKind::ExportImport);
}

/// Starts the planned move if it is due.
template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::StartMove(Stream& aStream, const MovePlan& aMove)
{
  if (aMove.target.empty() || aMove.startAt > this->clock.Now()) {
    return;
  }
  const auto found =
    std::find_if(this->engines.begin(), this->engines.end(),
                 [&](const Engine& aEngine) { return aEngine.id == aMove.target; });
  const int index = static_cast<int>(found - this->engines.begin());

  if (aMove.kind == MoveKind::Reprefill) {
    const bool cached = index == aStream.cachingEngine;
    const double prompt = aStream.prompt - (cached ? aStream.prompt * 0.9 : 0);
    if (this->fromScratch) {
      this->outcome.recomputedTokens += aStream.generated;
      aStream.tokensToRegenerate = aStream.generated;
      this->Resume(aStream, index, prompt, aMove.kind);
    } else {
      this->Resume(aStream, index, prompt + aStream.generated, aMove.kind);
    }
    return;
  }
  if (aStream.transferTarget >= 0) {
    return; // a transfer is already in progress
  }
  Engine& source = this->engines[aStream.engine];
  const TimePoint start =
    std::max({ this->clock.Now(), source.linkBusyUntil, found->linkBusyUntil });
  const double bytes = (aStream.prompt + aStream.generated) * this->scenario.kvBytesPerToken;
  const auto duration = this->After(bytes / this->scenario.linkBytesPerSecond) - this->clock.Now();
  source.linkBusyUntil = start + duration;
  found->linkBusyUntil = start + duration;
  aStream.transferTarget = index;
  aStream.transferStart = this->clock.Now();
  aStream.transferEnd = start + duration + ReclaimSettings().stepOverhead;
  aStream.generatedAtStart = aStream.generated;
}

template<ReclaimPolicy Policy>
void
ReclaimSimulation<Policy>::Replan()
{
  std::vector<StreamView> views;
  std::vector<Stream*> planned;
  for (Stream& stream : this->streams) {
    if (!stream.done && this->IsLeaving(stream.engine)) {
      stream.affected = true;
      views.push_back(this->View(stream));
      planned.push_back(&stream);
    }
  }
  const ManifestObjective objective{ 0.2, 0.8 };
  const auto moves = this->policy.PlanMoves(views, this->Targets(), objective, this->clock.Now());
  for (std::size_t index = 0; index < planned.size(); ++index) {
    // Cancel a transfer whose target is no longer planned
    Stream& stream = *planned[index];
    if (stream.transferTarget >= 0 &&
        moves[index].target != this->engines[stream.transferTarget].id) {
      stream.transferTarget = -1;
    }
    this->StartMove(stream, moves[index]);
  }
}

template<ReclaimPolicy Policy>
ReclaimOutcome
ReclaimSimulation<Policy>::Run()
{
  const TimePoint begin = this->clock.Now();
  this->GiveReclaimNotice(0);
  TimePoint nextPlan = begin;
  bool secondNoticeGiven = !this->scenario.secondDomain;
  while (this->clock.Now() - begin < kMaxRunDuration) {
    if (!secondNoticeGiven && this->clock.Now() - begin >= this->scenario.secondNotice) {
      secondNoticeGiven = true;
      this->GiveReclaimNotice(1);
      nextPlan = this->clock.Now();
    }
    for (Stream& stream : this->streams) {
      if (!stream.done) {
        this->FinishTransfer(stream);
        this->Generate(stream);
      }
    }
    if (this->clock.Now() >= nextPlan) {
      this->Replan();
      nextPlan = this->clock.Now() + kReplanInterval;
    }
    this->clock.Advance(kTick);
  }
  for (const Stream& stream : this->streams) {
    this->outcome.streams += stream.affected ? 1 : 0;
    this->outcome.lost += stream.done ? 0 : 1;
  }
  return this->outcome;
}

} // namespace lagoonward::bench
