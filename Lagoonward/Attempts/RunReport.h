#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Attempts/RunContext.h"

#include <functional>
#include <string>
#include <string_view>

namespace lagoonward {

/// What every run tells the rest of the daemon, whatever it runs: its decisions, where it runs, its
/// counters, its claim's outcome and its end. Lives on the run's TrafficLoop.
class RunReport
{
public:
  /// @param aTerms    of the run's call; must outlive the report
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  RunReport(const RunContext& aContext, const CallTerms& aTerms, AnswerPtr aAnswer,
            std::function<void()> aOnEnded);

  /// Notes a decision: a log line and an entry for `explain`.
  void Note(std::string aText);

  /// Tells a sibling where the request runs, if its caller may come back.
  /// @param aStreamId  the engine's; empty until known, and for plain services
  void Announce(const std::string& aEndpointId, const std::string& aStreamId, bool aFinished);

  /// Whether a sibling has been told already.
  [[nodiscard]] bool HasAnnounced() const { return this->placeRevision > 0; }

  /// Counts and settles a whole answer, right before the answer ends.
  void SettleWhole();

  /// Counts, settles and ends the answer with an error.
  void SettleFailed(const Error& aError);

  /// Tells the owner that the run is over. Once.
  void End();

private:
  RunContext context;
  const CallTerms& terms;
  AnswerPtr answer;
  std::function<void()> onEnded;
  std::uint32_t placeRevision = 0; ///< Of the last announcement.
};

} // namespace lagoonward
