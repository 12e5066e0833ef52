#pragma once

#include "StandIns/Load/Caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Counters reported by a fleet; see `GET /fleet` and `GET /stats` of the platform.
struct FleetCounters
{
  std::map<std::string, std::int64_t> executions; ///< By ExecutionKey().
  std::int64_t recomputed = 0;                    ///< Tokens computed more than once.
  std::int64_t generated = 0;
  double cost = 0; ///< Price of the hosts multiplied by their running time.
};

/// Queries the platform of a fleet. Throws std::runtime_error if it does not respond.
[[nodiscard]] FleetCounters
ReadFleetCounters(const std::string& aPlatformUrl);

/// Evaluation of one load: checks every answer against the expected one, and the number of executions
/// against the outcome reported to the caller.
class LoadReport
{
public:
  LoadReport(const std::vector<std::unique_ptr<Caller>>& aCallers, const FleetCounters& aBefore,
             const FleetCounters& aAfter);

  /// Whether no request was lost, duplicated or answered incorrectly, and no refused request was executed.
  [[nodiscard]] bool IsClean() const;

  /// Summary table, followed by one line per note and fault.
  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;

private:
  struct ClassRow
  {
    std::vector<std::int64_t> firstTokens; ///< Milliseconds, of correct answers.
    std::vector<std::int64_t> totals;
    std::int64_t longestGap = 0;
    int requests = 0;
  };

  void CountCaller(const Caller& aCaller, const FleetCounters& aAfter);
  void CheckExecutions(const Caller& aCaller, std::int64_t aCount);

  std::map<Outcome, int> outcomes;
  std::map<std::string, ClassRow> classes; ///< By kind of request.
  int requests = 0;
  int retried = 0;
  int duplicated = 0;               ///< Non-idempotent calls that were executed more than once.
  int executedAfterRefusal = 0;     ///< Refused as "not run", but executed.
  int answeredWithoutExecution = 0; ///< Answered, but not executed.
  std::int64_t recomputed = 0;
  std::int64_t generated = 0;
  double cost = 0;
  std::vector<std::string> faults;
  std::vector<std::string> notes;
};

} // namespace lagoonward::standins
