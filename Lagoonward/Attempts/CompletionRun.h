#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/PlannedMove.h"
#include "Lagoonward/Attempts/RunContext.h"
#include "Lagoonward/Attempts/StreamStop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Carries one request for a model from its first attempt to its one answer. Attempts come and go
/// (refused, cut, silent, moved); the answer keeps the tokens that arrived, so that each further
/// attempt goes on where the last one stopped and the caller sees one unbroken stream.
/// Lives on one TrafficLoop; nothing here is called from another thread.
class CompletionRun final : public EngineStreamListener
{
public:
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  CompletionRun(const RunContext& aContext, CompletionCall aCall, AnswerPtr aAnswer,
                std::function<void()> aOnEnded);
  ~CompletionRun() override;
  CompletionRun(const CompletionRun&) = delete;
  CompletionRun& operator=(const CompletionRun&) = delete;

  /// Begins the first attempt, or refuses.
  void Start();

  /// Gives up because nobody waits for the answer any more.
  void Cancel();

  /// Takes the plan for leaving its endpoint. A plan that says what is under way changes nothing; any
  /// other replaces it.
  void FollowPlan(const MovePlan& aPlan);

  /// The move that has been planned or begun, if any.
  [[nodiscard]] const std::optional<MoveInProgress>& Move() const { return this->move.Get(); }

  /// Whether its KV cache can be exported: the engine has named the stream and no export has failed.
  [[nodiscard]] bool CanExport() const
  {
    return !this->streamId.empty() && !this->move.HasExportFailed();
  }

  [[nodiscard]] const CompletionCall& Call() const { return this->call; }
  [[nodiscard]] const Answer& GetAnswer() const { return *this->answer; }
  /// Id of the endpoint that serves it now; empty between attempts.
  [[nodiscard]] const std::string& EndpointId() const { return this->endpointId; }
  [[nodiscard]] bool Ended() const { return this->ended; }
  /// Whether the first token came within the class's target; nothing when none came or none is set.
  [[nodiscard]] std::optional<bool> MetFirstTokenTarget() const;
  /// Tokens a second over the answer so far; zero before the second token.
  [[nodiscard]] double TokensPerSecond() const;

private:
  void OnStreamOpened(const std::string& aStreamId) override;
  void OnStreamProgress(std::size_t aNewTokens) override;
  void OnStreamFinished(const std::string& aFinishReason) override;
  void OnStreamFailed(AttemptFailure aFailure, const std::string& aMessage) override;

  // Attempts
  [[nodiscard]] bool TakeOver();
  void Dispatch();
  [[nodiscard]] RouteRequest MakeRouteRequest(std::vector<std::string_view>& aExcluded) const;
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  void BeginStream(std::string_view aResumeStream, bool aFreshConnection);
  void ResumeOnNewConnection(std::string_view aReason);
  void LeaveEndpoint(DispatchOutcome aOutcome);
  void TryElsewhere(std::string_view aReason);
  void PauseThenDispatch();
  void CancelEngineStream();

  void MoveAway(std::string_view aReason);
  void StopThenMove();
  void GoOnElsewhere();

  // Time
  void ScheduleTick();
  void Tick();
  void CheckSilence(TimePoint aNow);
  [[nodiscard]] Milliseconds SilenceBudget() const;

  // End
  void Finish(const std::string& aFinishReason);
  void Fail(const Error& aError);
  /// For a non-idempotent request that may have run.
  void FailUnrepeatable();
  void End();

  RunContext context;
  CompletionCall call;
  AnswerPtr answer;
  RunReport report;
  CrashWitness witness;
  PlannedMove move;

  std::string endpointId;
  std::string baseUrl;
  lagoonward::Dispatch dispatch; ///< The router's record of the attempt.
  std::unique_ptr<EngineStream> stream;
  std::unique_ptr<StreamStop> stop;  ///< Ends a non-idempotent stream before it moves.
  std::string streamId;              ///< The engine's name of the stream here; empty until opened.
  std::vector<std::string> excluded; ///< Endpoints that failed this request.

  int attemptCount = 0;
  bool everDispatched = false; ///< Whether an endpoint may have run any of it.
  bool resuming = false;       ///< A new connection to the same stream awaits its first event.
  bool resumedSinceProgress = false;
  int silences = 0; ///< Silent connections in a row without a new token.
  bool ended = false;
  Milliseconds pause{ 0 };
  TimePoint lastProgress;
  TimePoint firstTokenAt;
  std::optional<TimePoint> alone; ///< Since when nobody waits for the answer.
  std::optional<TrafficLoop::TimerId> tickTimer;
  std::optional<TrafficLoop::TimerId> pauseTimer;
};

} // namespace lagoonward
