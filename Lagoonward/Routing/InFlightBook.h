#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lagoonward {

/// Requests in flight by endpoint key.
using InFlightCounts = std::vector<std::pair<std::uint64_t, std::int32_t>>;

/// What the daemons have in flight at endpoints, as each told last. The sum is kept up with each message, so that an
/// answer takes time in proportion to the endpoints, however many daemons tell. Not thread-safe.
class InFlightBook
{
public:
  /// @param aRetention  a daemon that has been silent this long no longer counts
  InFlightBook(Milliseconds aRetention, const Clock& aClock);

  /// A daemon has told.
  /// @param aRun  names the daemon and this run of it
  void OnCounts(std::uint64_t aRun, InFlightCounts aCounts);

  /// The sum over all but one run.
  [[nodiscard]] InFlightCounts SumOfOthers(std::uint64_t aRun);

  /// The sum over all.
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
  std::map<std::uint64_t, std::int32_t> sums; ///< By endpoint, over `runs`; without zeros.
};

} // namespace lagoonward
