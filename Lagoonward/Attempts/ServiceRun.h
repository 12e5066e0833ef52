#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/RunReport.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Runs one call of a plain service until its answer has ended. An idempotent call is retried at another endpoint
/// when an attempt fails; any other call is sent again only if the last attempt is proven not to have been sent.
/// Used on one TrafficLoop only; no function may be called from another thread.
class ServiceRun final : private HttpTransferObserver
{
public:
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  ServiceRun(const RunContext& aContext, ServiceCall aCall, AnswerPtr aAnswer,
             std::function<void()> aOnEnded);
  ~ServiceRun() override;
  ServiceRun(const ServiceRun&) = delete;
  ServiceRun& operator=(const ServiceRun&) = delete;

  /// Starts the first attempt, or fails the call if it cannot be dispatched.
  void Start();

  [[nodiscard]] const ServiceCall& Call() const { return this->call; }
  [[nodiscard]] bool Ended() const { return this->ended; }

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  void Dispatch();
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  /// Ends the transfer because its response is of no use.
  void Stop(std::string aReason);
  void OnAttemptFailed(const TransferEnd& aEnd);
  /// Dispatches again after a failed attempt: at once if the retry budget allows, else after a backoff.
  void Retry();
  void DispatchAfterBackoff();
  void OnDeadline();
  void Fail(const Error& aError);
  void End();

  RunContext context;
  ServiceCall call;
  AnswerPtr answer;
  RunReport report;
  RunCrashTracker crashTracker;

  std::string endpointId;
  lagoonward::Dispatch dispatch; ///< The router's record of the attempt.
  TransferId transfer = 0;       ///< Zero if none is running.
  ServiceReply reply;            ///< The part of the current attempt's response received so far.
  std::optional<ResponseMemory::Account> replyMemory; ///< Of `reply` while the transfer runs.
  std::string stopReason; ///< Why the transfer was stopped, a sentence; empty if it was not.
  std::vector<std::string> excludedEndpoints; ///< Endpoints that failed this call.
  int attemptCount = 0;
  bool mayHaveRun = false; ///< Whether some attempt may have reached a service.
  bool ended = false;
  Milliseconds backoff{ 0 };
  std::optional<TrafficLoop::TimerId> deadlineTimer;
  std::optional<TrafficLoop::TimerId> backoffTimer;
};

} // namespace lagoonward
