#pragma once

#include "Lagoonward/Metering/UsageCounter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace lagoonward {

/// Tunables of usage reporting.
struct UsageAccumulatorSettings
{
  /// Minimum time between the end of a window and its report. The last counts need one interval of the messages between
  /// daemons and a little more to arrive.
  Milliseconds settleDelay{ 1200 };

  /// Time after the end of a window at which it is reported even if some daemon has not sent its counts since that end.
  Milliseconds reportTimeout{ 5000 };

  /// A daemon that has sent nothing for this long is taken to have terminated; its last counts are used.
  Milliseconds silenceTimeout{ 3000 };

  /// Windows that ended longer ago are no longer reported.
  Milliseconds maximumAge = kUsageReportPeriod;
};

/// Sums the usage counts of all daemons and decides when a window can be reported. Counts are cumulative per window and
/// run of a daemon, so messages may be lost, repeated or reordered. Not thread-safe.
class UsageAccumulator
{
public:
  UsageAccumulator(const UsageAccumulatorSettings& aSettings, const Clock& aClock);

  /// Records the counts of a daemon.
  /// @param aRun  identifies the daemon and its run, as a restarted daemon counts from zero
  /// @param aAge  age of the counts if they were forwarded by other daemons
  void OnCounts(std::uint64_t aRun, const UsageByWindow& aCounts,
                Milliseconds aAge = Milliseconds(0));

  /// The sums over all daemons for all known windows.
  [[nodiscard]] UsageByWindow Totals() const;

  /// Age of the newest counts of the least recently received daemon, among those within the silence timeout.
  [[nodiscard]] Milliseconds OldestAge() const;

  /// The sum over all daemons for one window.
  [[nodiscard]] UsageCounts TotalOf(std::int64_t aWindow) const;

  /// Whether a window that ended that long ago can be reported now.
  [[nodiscard]] bool IsDue(Milliseconds aSinceEnd) const;

  /// Evicts the windows before the given one, and runs without windows past the reporting period.
  void EvictBefore(std::int64_t aBefore);

private:
  struct Run
  {
    TimePoint lastReceived;
    UsageByWindow windows;
  };

  UsageAccumulatorSettings settings;
  const Clock& clock;
  std::map<std::uint64_t, Run> runs;
};

} // namespace lagoonward
