#pragma once

#include "Bench/Decisions/Tuning.h"
#include "Bench/Decisions/World.h"
#include "Lagoonward/Routing/MovePolicy.h"

#include <algorithm>

namespace lagoonward::bench {

/// State of one request.
struct RequestState
{
  bool done = false;
  bool accepted = false;
  int relayed = 0;       ///< Tokens that the caller has received.
  int attempts = 0;      ///< Number of attempts placed so far.
  int serviceStarts = 0; ///< For plain services: number of times that a host has started it.
  double firstTokenAt = 0;
  double lastTokenAt = 0;
  std::uint32_t attempt = 0; ///< Index of the current attempt.
};

/// State of one attempt on a host.
struct AttemptState
{
  std::uint32_t request = 0;
  std::uint32_t host = 0;
  bool live = true;
  bool stalled = false;  ///< Its connection has stalled; tokens do not arrive.
  bool finished = false; ///< Its engine has generated the last token.
  int produced = 0; ///< Tokens of the answer generated so far, including those of earlier attempts.
  EngineJob job;    ///< Submitted when the transfer of the KV cache has ended.
};

/// Discrete-event simulation of one run: the workload is served by the fleet under one policy. Deterministic for a
/// seed; single-threaded. Times are in seconds.
template<RoutePolicy Policy>
class Simulation
{
public:
  Simulation(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& aTuning,
             std::uint64_t aSeed)
    : world(aDeployment, aScenario, aSeed)
    , items(MakeWorkload(aDeployment, aScenario, aSeed))
    , requests(items.size())
    , firstTokenDelays(aDeployment.manifest.classes.size())
    , tokenIntervals(aDeployment.manifest.classes.size())
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
    this->openRequests = this->items.size();
    while (this->openRequests > 0) {
      const auto event = this->world.Next();
      if (!event) {
        break;
      }
      this->Handle(*event);
    }
    return this->CollectResult();
  }

private:
  static constexpr double kSampleInterval = 0.5;
  static constexpr double kHeartbeatInterval = 1;
  static constexpr double kReplanInterval = 1;
  static constexpr double kServiceSeconds = 0.02;
  /// Delay before the first retry; doubled with each attempt.
  static constexpr double kRetryDelay = 0.1;
  /// Delay before placement of an accepted request is retried.
  static constexpr double kPlacementRetryDelay = 0.25;
  /// Step time assumed until a stream has two tokens.
  static constexpr double kDefaultStepSeconds = 0.03;

  void ScheduleAll();
  void Handle(const Event& aEvent);
  void HandleFleet(const Event& aEvent);
  void OnArrival(std::uint32_t aRequest);
  [[nodiscard]] PlacementRequest MakePlacementRequest(std::uint32_t aRequest) const;
  bool TryPlace(std::uint32_t aRequest, const PlacementRequest& aPlacementRequest,
                double aTransferSeconds);
  void OnStepEnd(std::uint32_t aHost);
  void OnProduced(std::uint32_t aAttempt, bool aLast);
  void Relay(std::uint32_t aAttempt);
  void Complete(std::uint32_t aAttempt);
  void CloseRequest(std::uint32_t aRequest, bool aCompleted);
  [[nodiscard]] bool MetTargets(std::uint32_t aRequest) const;
  void FailAttempt(std::uint32_t aAttempt, bool aAnnounced);
  void OnRetry(std::uint32_t aRequest);
  void OnHostTerminated(std::uint32_t aHost);
  void PlanMoves(std::uint32_t aHost);
  void OnMoveStart(std::uint32_t aAttempt, std::uint32_t aExtra);
  void OnMoveEnd(std::uint32_t aAttempt);
  void OnConnectionStall();
  void OnStallTimeout(std::uint32_t aAttempt);
  void OnDeadline(std::uint32_t aRequest);
  [[nodiscard]] RunResult CollectResult();

  World world;
  std::vector<WorkItem> items;
  std::vector<RequestState> requests;
  std::vector<AttemptState> attempts;
  std::vector<std::vector<float>> firstTokenDelays; ///< Seconds, by class.
  std::vector<std::vector<float>> tokenIntervals;   ///< Seconds, by class.
  std::vector<EngineToken> tokens;                  ///< Buffer reused for each step.
  /// Number of the host's latest move plan; moves of older plans are ignored.
  std::vector<std::uint32_t> planNumberOfHost;
  std::size_t openRequests = 0;
  RunResult result;
  MoveSettings moves;
  Policy policy;
};

} // namespace lagoonward::bench

#include "Bench/Decisions/SimulationEvents.h"
