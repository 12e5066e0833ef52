#pragma once

#include "Lagoonward/Wire/EventStreamReader.h"
#include "Lagoonward/Wire/TrafficLoop.h"
#include "StandIns/Load/LoadPlan.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Outcome of a caller's request.
enum class Outcome
{
  Pending,       ///< Not completed yet.
  Correct,       ///< The expected answer, complete and once.
  Wrong,         ///< A different answer, or inconsistent partial answers.
  RefusedNotRun, ///< Refused, and reported as not executed.
  Unknown,       ///< Non-idempotent call whose execution state is reported as unknown.
  Lost,          ///< Anything else: no answer in time, or an error without an execution state.
};

/// Result of a caller's request.
struct CallerResult
{
  Outcome outcome = Outcome::Pending;
  std::string detail; ///< Reason if the outcome is not Correct.
  int attempts = 0;
  Milliseconds firstToken{ 0 }; ///< From the first attempt to the first text.
  Milliseconds total{ 0 };      ///< From the first attempt to the end.
  Milliseconds longestGap{ 0 }; ///< Between two consecutive pieces of text.
};

/// Simulated caller behind a load balancer: sends its request to one daemon and, if the connection fails
/// or the response asks for a retry, sends it with the same key to the next daemon. Used only on the
/// thread of its TrafficLoop while that runs.
class Caller final : private HttpTransferObserver
{
public:
  using Done = std::function<void(Caller&)>;

  /// @param aDaemons  base URLs
  /// @param aFirst    index of the daemon that receives the first attempt
  Caller(TrafficLoop& aLoop, const PlannedRequest& aRequest,
         const std::vector<std::string>& aDaemons, std::size_t aFirst, Done aDone);

  /// Sends the first attempt. Must be called on the loop's thread.
  void Start();

  [[nodiscard]] const PlannedRequest& Request() const { return this->request; }
  [[nodiscard]] const CallerResult& Result() const { return this->result; }

  /// Whether text has been received and the request is not completed.
  [[nodiscard]] bool IsStreaming() const;

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  void StartAttempt();
  [[nodiscard]] HttpTransferRequest BuildAttemptRequest() const;
  void OnEvent(const StreamEvent& aEvent);
  void RecordText(std::string_view aText);
  void ClassifyResult(const TransferEnd& aEnd);
  void ClassifyError(const std::string& aBody);
  void CheckAnswer();
  [[nodiscard]] std::optional<std::string> ReadAnswer();
  void ScheduleRetry(const std::string& aWhy, Milliseconds aWait);
  void Finish(Outcome aOutcome, std::string aDetail);
  [[nodiscard]] Milliseconds Elapsed() const;

  TrafficLoop& loop;
  const PlannedRequest& request;
  const std::vector<std::string>& daemons;
  std::size_t nextDaemon;
  Done done;
  CallerResult result;
  TimePoint started;
  TimePoint lastText;
  TransferId transfer = 0;

  // State of the current attempt
  std::optional<EventStreamReader> reader;
  std::string bytes;    ///< Body of a response that is not streamed.
  std::string error;    ///< Data of an `error` event.
  bool sawDone = false; ///< `[DONE]` has been received.
  Milliseconds retryAfter{ 0 };
  int unknownAnswers = 0; ///< Attempts of a non-idempotent call that ended in "unknown".

  // State across all attempts
  std::string text;
  std::string longestEarlierText; ///< Longest text of an earlier attempt.
  std::string lastEventId;
};

} // namespace lagoonward::standins
