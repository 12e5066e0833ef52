#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/RunContext.h"

#include <functional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Reports the state of a run to the rest of the daemon: decisions, location, counters, the outcome of its claim
/// and its end. Shared by all kinds of runs. Used on the run's TrafficLoop only.
class RunReport
{
public:
  /// @param aTerms    terms of the run's call; must outlive the report
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  RunReport(const RunContext& aContext, const CallTerms& aTerms, AnswerPtr aAnswer,
            std::function<void()> aOnEnded);

  /// Records a decision: a log line and an entry for `explain`.
  void RecordDecision(std::string aText);

  /// Sends the location of the run to a sibling daemon, if the request has an idempotency key.
  /// @param aStreamId  the engine's id of the stream; empty until known, and for plain services
  void Announce(const std::string& aEndpointId, const std::string& aStreamId, bool aFinished);

  /// Whether the location has been sent at least once.
  [[nodiscard]] bool HasAnnounced() const { return this->locationRevision > 0; }

  /// Counts a successful answer and settles the claim. Call this right before the answer ends.
  void SettleSuccess();

  /// Counts a failure, settles the claim and ends the answer with the error.
  void SettleFailure(const Error& aError);

  /// Posts the call of aOnEnded. Call this once.
  void NotifyEnded();

private:
  RunContext context;
  const CallTerms& terms;
  AnswerPtr answer;
  std::function<void()> onEnded;
  std::uint32_t locationRevision = 0; ///< Of the last announcement.
};

} // namespace lagoonward
