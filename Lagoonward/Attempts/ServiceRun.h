#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/RunReport.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Carries one call of a plain service to its answer. An idempotent call is tried elsewhere when an
/// attempt fails; any other is sent again only after proof that the last attempt never left.
/// Lives on one TrafficLoop; nothing here is called from another thread.
class ServiceRun final : private HttpTransferObserver
{
public:
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  ServiceRun(const RunContext& aContext, ServiceCall aCall, AnswerPtr aAnswer,
             std::function<void()> aOnEnded);
  ~ServiceRun() override;
  ServiceRun(const ServiceRun&) = delete;
  ServiceRun& operator=(const ServiceRun&) = delete;

  /// Begins the first attempt, or refuses.
  void Start();

  [[nodiscard]] const ServiceCall& Call() const { return this->call; }
  [[nodiscard]] bool Ended() const { return this->ended; }

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  void Dispatch();
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  void OnAttemptFailed(const TransferEnd& aEnd);
  /// Goes on after a failed attempt, within the retry budget.
  void TryAgain();
  void PauseThenDispatch();
  void OnDeadline();
  void Fail(const Error& aError);
  void End();

  RunContext context;
  ServiceCall call;
  AnswerPtr answer;
  RunReport report;
  CrashWitness witness;

  std::string endpointId;
  lagoonward::Dispatch dispatch; ///< The router's record of the attempt.
  TransferId transfer = 0;       ///< Zero when none is running.
  ServiceReply reply;            ///< What has come of the current attempt's answer.
  bool replyTooLarge = false;
  std::vector<std::string> excluded; ///< Endpoints that failed this call.
  int attemptCount = 0;
  bool mayHaveRun = false; ///< Whether some attempt may have reached a service.
  bool ended = false;
  Milliseconds pause{ 0 };
  std::optional<TrafficLoop::TimerId> deadlineTimer;
  std::optional<TrafficLoop::TimerId> pauseTimer;
};

} // namespace lagoonward
