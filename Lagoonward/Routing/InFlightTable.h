#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lagoonward {

/// Requests in flight by endpoint key.
using InFlightCounts = std::vector<std::pair<std::uint64_t, std::int32_t>>;

/// Table of the requests that daemons have in flight at endpoints, as of each daemon's last report. The sums are
/// updated with each report, so that a query takes time proportional to the number of endpoints, regardless of how many
/// daemons report. Not thread-safe.
class InFlightTable
{
public:
  /// @param aRetention  counts of a daemon expire when it has not reported for longer than this
  InFlightTable(Milliseconds aRetention, const Clock& aClock);

  /// Replaces the counts of a daemon with those of its latest report.
  /// @param aRun  identifies the daemon process: the daemon and its current run
  void OnCounts(std::uint64_t aRun, InFlightCounts aCounts);

  /// Sums over all runs except aRun.
  [[nodiscard]] InFlightCounts SumOfOthers(std::uint64_t aRun);

  /// Sums over all runs.
  [[nodiscard]] InFlightCounts Sum();

private:
  struct RunCounts
  {
    TimePoint receivedAt;
    InFlightCounts counts;
  };

  void Add(const InFlightCounts& aCounts, int aSign);
  void ExpireSilentRuns();
  [[nodiscard]] InFlightCounts SumExcluding(const InFlightCounts& aCounts) const;

  Milliseconds retention;
  const Clock& clock;
  std::map<std::uint64_t, RunCounts> runs;
  /// Sum over `runs` by endpoint key; zero sums are removed.
  std::map<std::uint64_t, std::int32_t> sums;
};

} // namespace lagoonward
