#pragma once

#include "Bench/Decisions/Tuning.h"
#include "Bench/Decisions/World.h"
#include "Lagoonward/Routing/MovePolicy.h"

#include <algorithm>

namespace lagoonward::bench {

/// One request's way through a run.
struct RequestState
{
  bool done = false;
  bool accepted = false;
  int relayed = 0;  ///< Tokens that the caller has.
  int attempts = 0; ///< Placed so far.
  int begun = 0;    ///< For plain services: hosts that have begun it.
  double firstTokenAt = 0;
  double lastTokenAt = 0;
  std::uint32_t attempt = 0; ///< The current one.
};

/// One attempt at a host.
struct AttemptState
{
  std::uint32_t request = 0;
  std::uint32_t host = 0;
  bool live = true;
  bool silent = false;
  bool finished = false; ///< Its engine has sent the last token.
  int produced = 0;      ///< Index behind the last token, over the whole answer.
  EngineJob job;         ///< Kept while its KV cache is on the way.
};

/// One run: the workload against the fleet, under one policy.
template<RoutePolicy Policy>
class Simulation
{
public:
  Simulation(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& aTuning,
             std::uint64_t aSeed)
    : world(aDeployment, aScenario, aSeed)
    , items(MakeWorkload(aDeployment, aScenario, aSeed))
    , requests(items.size())
    , firstTokens(aDeployment.manifest.classes.size())
    , gaps(aDeployment.manifest.classes.size())
    , moves(aTuning.moves)
    , policy(aDeployment, aTuning, world.clock, aSeed, items.size())
  {
    for (const ManifestClass& each : aDeployment.manifest.classes) {
      this->result.classes.push_back({ each.name });
    }
    this->result.deployment = aDeployment.name;
    this->result.scenario = aScenario.name;
    this->result.seed = aSeed;
    this->result.scale = aDeployment.scale;
  }

  [[nodiscard]] RunResult Run()
  {
    this->ScheduleAll();
    this->open = this->items.size();
    while (this->open > 0) {
      const auto event = this->world.Next();
      if (!event) {
        break;
      }
      this->Handle(*event);
    }
    return this->Finish();
  }

private:
  static constexpr double kSampleEvery = 0.5;
  static constexpr double kHeartbeatEvery = 1;
  static constexpr double kReplanEvery = 1;
  static constexpr double kServiceSeconds = 0.02;
  static constexpr double kRetryPause = 0.1; ///< Doubled with each attempt.
  static constexpr double kPlacePause =
    0.25; ///< Before an accepted request looks for an endpoint again.
  static constexpr double kUnknownStep = 0.03; ///< Assumed until two tokens of a stream have come.

  void ScheduleAll();
  void Handle(const Event& aEvent);
  void HandleFleet(const Event& aEvent);
  void OnArrival(std::uint32_t aRequest);
  [[nodiscard]] Ask MakeAsk(std::uint32_t aRequest) const;
  bool TryPlace(std::uint32_t aRequest, const Ask& aAsk, double aTransferSeconds);
  void OnStepEnd(std::uint32_t aHost);
  void OnProduced(std::uint32_t aAttempt, bool aLast);
  void Relay(std::uint32_t aAttempt);
  void Complete(std::uint32_t aAttempt);
  void Close(std::uint32_t aRequest, bool aWhole);
  [[nodiscard]] bool MetTargets(std::uint32_t aRequest) const;
  void FailAttempt(std::uint32_t aAttempt, bool aAnnounced);
  void OnRetry(std::uint32_t aRequest);
  void OnGone(std::uint32_t aHost);
  void Plan(std::uint32_t aHost);
  void OnMoveStart(std::uint32_t aAttempt, std::uint32_t aExtra);
  void OnMoveEnd(std::uint32_t aAttempt);
  void OnSilence();
  void OnSilenceOver(std::uint32_t aAttempt);
  void OnDeadline(std::uint32_t aRequest);
  [[nodiscard]] RunResult Finish();

  World world;
  std::vector<WorkItem> items;
  std::vector<RequestState> requests;
  std::vector<AttemptState> attempts;
  std::vector<std::vector<float>> firstTokens; ///< Seconds, by class.
  std::vector<std::vector<float>> gaps;        ///< Seconds, by class.
  std::vector<EngineToken> tokens;             ///< Scratch.
  std::vector<std::uint32_t> planOfHost;       ///< Number of the host's latest plan.
  std::size_t open = 0;
  RunResult result;
  MoveSettings moves;
  Policy policy;
};

} // namespace lagoonward::bench

#include "Bench/Decisions/SimulationEvents.h"
