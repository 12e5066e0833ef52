#pragma once

#include "Lagoonward/Wire/EventStreamReader.h"
#include "Lagoonward/Wire/TrafficLoop.h"
#include "StandIns/Load/LoadPlan.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// What a caller has in the end.
enum class Outcome
{
  Open,          ///< Not over yet.
  Whole,         ///< The answer that it must get, once and whole.
  Wrong,         ///< Another answer, or contradictory pieces of one.
  RefusedNotRun, ///< Refused with the promise that it was not run.
  Unknown, ///< A non-idempotent call of which the system honestly does not know, or not any more.
  Lost,    ///< Anything else: no answer in time, or an error that promises nothing.
};

/// What a caller saw.
struct CallerResult
{
  Outcome outcome = Outcome::Open;
  std::string detail; ///< Why it is not whole.
  int tries = 0;
  Milliseconds firstToken{ 0 }; ///< From the first try to the first text.
  Milliseconds total{ 0 };      ///< From the first try to the end.
  Milliseconds longestGap{ 0 }; ///< Between two pieces of text.
};

/// One caller behind the balancer: sends its request to one daemon, and when the connection breaks or
/// it is told to come back, sends the same key to the next. Lives on one TrafficLoop.
class Caller final : private HttpTransferObserver
{
public:
  using Done = std::function<void(Caller&)>;

  /// @param aDaemons  base URLs
  /// @param aFirst    index of the daemon that gets the first try
  Caller(TrafficLoop& aLoop, const PlannedRequest& aRequest,
         const std::vector<std::string>& aDaemons, std::size_t aFirst, Done aDone);

  /// Sends the first try. On the loop.
  void Start();

  [[nodiscard]] const PlannedRequest& Request() const { return this->request; }
  [[nodiscard]] const CallerResult& Result() const { return this->result; }

  /// Whether text has come and the end has not.
  [[nodiscard]] bool IsStreaming() const;

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  void Try();
  [[nodiscard]] HttpTransferRequest BuildTry() const;
  void OnEvent(const StreamEvent& aEvent);
  void NoteText(std::string_view aText);
  void Judge(const TransferEnd& aEnd);
  void JudgeError(const std::string& aBody);
  void JudgeAnswer();
  [[nodiscard]] std::optional<std::string> ReadAnswer();
  void TryLater(const std::string& aWhy, Milliseconds aWait);
  void Finish(Outcome aOutcome, std::string aDetail);
  [[nodiscard]] Milliseconds Passed() const;

  TrafficLoop& loop;
  const PlannedRequest& request;
  const std::vector<std::string>& daemons;
  std::size_t nextDaemon;
  Done done;
  CallerResult result;
  TimePoint started;
  TimePoint lastText;
  TransferId transfer = 0;

  // This try
  std::optional<EventStreamReader> reader;
  std::string bytes;   ///< Body of an answer in one piece.
  std::string error;   ///< Data of an `error` event.
  bool sawEnd = false; ///< `[DONE]` has come.
  Milliseconds retryAfter{ 0 };
  int unknownAnswers = 0; ///< Tries of a non-idempotent call that ended in "unknown".

  // Over all tries
  std::string text;
  std::string earlier; ///< Longest text of an earlier try.
  std::string lastEventId;
};

} // namespace lagoonward::standins
