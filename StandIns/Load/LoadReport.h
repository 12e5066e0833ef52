#pragma once

#include "StandIns/Load/Caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// What the fleet says of itself after a load; see `GET /fleet` and `GET /stats` of the platform.
struct FleetAccount
{
  std::map<std::string, std::int64_t> executions; ///< By ExecutionKey().
  std::int64_t recomputed = 0;                    ///< Tokens computed more than once.
  std::int64_t generated = 0;
  double cost = 0; ///< Price of the hosts over their running time.
};

/// Asks the platform of a fleet. Throws std::runtime_error where it does not answer.
[[nodiscard]] FleetAccount
ReadFleetAccount(const std::string& aPlatformUrl);

/// The verdict on one load: every answer against what it must be, every execution against what the
/// callers were told.
class LoadReport
{
public:
  LoadReport(const std::vector<std::unique_ptr<Caller>>& aCallers, const FleetAccount& aBefore,
             const FleetAccount& aAfter);

  /// Nothing lost, doubled or wrong, and no refusal that was a lie.
  [[nodiscard]] bool IsClean() const;

  /// The short table, and a line for each fault.
  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;

private:
  struct ClassRow
  {
    std::vector<std::int64_t> firstTokens; ///< Milliseconds, of whole answers.
    std::vector<std::int64_t> totals;
    std::int64_t longestGap = 0;
    int requests = 0;
  };

  void CountCaller(const Caller& aCaller, const FleetAccount& aAfter);
  void CheckExecutions(const Caller& aCaller, std::int64_t aCount);

  std::map<Outcome, int> outcomes;
  std::map<std::string, ClassRow> classes; ///< By kind of request.
  int requests = 0;
  int retried = 0;
  int doubled = 0;        ///< Non-idempotent calls that ran more than once.
  int brokenPromises = 0; ///< Refused as "not run", and run nevertheless.
  int answeredNotRun = 0; ///< Answered, though nothing ran.
  std::int64_t recomputed = 0;
  std::int64_t generated = 0;
  double cost = 0;
  std::vector<std::string> faults;
  std::vector<std::string> notes;
};

} // namespace lagoonward::standins
