#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/PlannedMove.h"
#include "Lagoonward/Attempts/RunContext.h"
#include "Lagoonward/Attempts/StreamCancellation.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Runs one request for a model from its first attempt to the end of its answer. An attempt may end early because
/// it is rejected, cut, silent or moved. The answer keeps the tokens that arrived, so that each further attempt
/// continues after the last token and the caller sees one uninterrupted stream. Used on one TrafficLoop only; no
/// function may be called from another thread.
class CompletionRun final : public EngineStreamListener
{
public:
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  CompletionRun(const RunContext& aContext, CompletionCall aCall, AnswerPtr aAnswer,
                std::function<void()> aOnEnded);
  ~CompletionRun() override;
  CompletionRun(const CompletionRun&) = delete;
  CompletionRun& operator=(const CompletionRun&) = delete;

  /// Starts the first attempt, or fails the request if it cannot be dispatched.
  void Start();

  /// Ends the run because no caller waits for the answer any more.
  void Cancel();

  /// Applies a plan for leaving the endpoint. A plan equal to the move in progress has no effect; any other plan
  /// replaces it.
  void ApplyPlan(const MovePlan& aPlan);

  /// The move that is planned or in progress, if any.
  [[nodiscard]] const std::optional<MoveInProgress>& Move() const { return this->move.Get(); }

  /// Whether the KV cache can be exported: the stream's id is known and no export has failed at this endpoint.
  [[nodiscard]] bool CanExport() const
  {
    return !this->streamId.empty() && !this->move.HasExportFailed();
  }

  [[nodiscard]] const CompletionCall& Call() const { return this->call; }
  [[nodiscard]] const Answer& GetAnswer() const { return *this->answer; }
  /// Id of the endpoint of the current attempt; empty between attempts.
  [[nodiscard]] const std::string& EndpointId() const { return this->endpointId; }
  [[nodiscard]] bool Ended() const { return this->ended; }
  /// Whether the first token arrived within the class's target; nothing if no token has arrived or no target is set.
  [[nodiscard]] std::optional<bool> MetFirstTokenTarget() const;
  /// Average tokens per second of the answer so far; zero before the second token.
  [[nodiscard]] double TokensPerSecond() const;

private:
  void OnStreamOpened(const std::string& aStreamId) override;
  void OnStreamProgress(std::size_t aNewTokens) override;
  void OnStreamFinished(const std::string& aFinishReason) override;
  void OnStreamFailed(AttemptFailure aFailure, const std::string& aMessage) override;

  // Attempts
  /// Resumes the stream of a lost daemon, if the call names one. Returns whether it did.
  [[nodiscard]] bool TakeOver();
  void Dispatch();
  [[nodiscard]] RouteRequest MakeRouteRequest(
    std::vector<std::string_view>& aExcludedEndpoints) const;
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  void BeginStream(std::string_view aResumeStreamId, bool aFreshConnection);
  void ResumeOnNewConnection(std::string_view aReason);
  void LeaveEndpoint(DispatchOutcome aOutcome);
  void RetryElsewhere(std::string_view aReason);
  void DispatchAfterBackoff();
  void CancelEngineStream();

  void BeginMove(std::string_view aReason);
  void CancelStreamThenMove();
  void DispatchElsewhere();

  // Timers
  void ScheduleTick();
  void Tick();
  void CheckSilence(TimePoint aNow);
  [[nodiscard]] Milliseconds SilenceTimeout() const;

  /// Accounts for the memory of the answer.
  void UpdateMemory();
  /// Ends the run, whose answer occupies memory that others need.
  void EndEvicted();

  // End
  void Finish(const std::string& aFinishReason);
  void Fail(const Error& aError);
  /// Fails a non-idempotent request that may have run, and must not be sent again.
  void FailOutcomeUnknown();
  void End();

  RunContext context;
  CompletionCall call;
  AnswerPtr answer;
  RunReport report;
  RunCrashTracker crashTracker;
  PlannedMove move;

  std::string endpointId;
  std::string baseUrl;
  lagoonward::Dispatch dispatch; ///< The router's record of the attempt.
  std::unique_ptr<EngineStream> stream;
  std::unique_ptr<StreamCancellation>
    cancellation;       ///< Ends a non-idempotent stream before the move.
  std::string streamId; ///< The engine's id of the stream; empty until opened.
  std::vector<std::string> excludedEndpoints; ///< Endpoints that failed this request.

  int attemptCount = 0;
  bool mayHaveRun = false; ///< Whether an endpoint may have run the request.
  bool resuming = false;   ///< A new connection to the same stream waits for its first event.
  bool resumedSinceProgress = false;
  int silenceCount = 0; ///< Consecutive silent connections without a new token.
  bool ended = false;
  Milliseconds backoff{ 0 };
  TimePoint lastProgress;
  TimePoint firstTokenAt;
  std::optional<TimePoint> noSubscribersSince; ///< Set while the answer has no subscribers.
  std::optional<TrafficLoop::TimerId> tickTimer;
  std::optional<TrafficLoop::TimerId> backoffTimer;
  std::optional<ResponseMemory::Account> answerMemory; ///< From the first token to the end.
  std::optional<TrafficLoop::TimerId> evictionTimer;   ///< Set once the answer has been evicted.
};

} // namespace lagoonward
