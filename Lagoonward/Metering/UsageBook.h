#pragma once

#include "Lagoonward/Metering/UsageCounter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace lagoonward {

/// Tunables of reporting usage.
struct UsageBookSettings
{
  /// A window is not reported sooner after its end: its last counts are on their way for one interval of
  /// the daemons' messages and a little more.
  Milliseconds settle{ 1200 };

  /// After this a window is reported even if some daemon has not told its counts since the window's end.
  Milliseconds patience{ 5000 };

  /// A daemon that has been silent this long has gone: what it told last counts.
  Milliseconds silence{ 3000 };

  /// Windows that ended longer ago are not reported any more.
  Milliseconds oldest = kUsageReportable;
};

/// Collects the daemons' counts and says which window can be reported. Counts are cumulative per window
/// and run of a daemon, so messages may be lost or repeated. Not thread-safe.
class UsageBook
{
public:
  UsageBook(const UsageBookSettings& aSettings, const Clock& aClock);

  /// A daemon has told its counts.
  /// @param aRun  names the daemon and this run of it: a restarted one counts anew
  /// @param aAge  how old they are, where they came through others
  void OnCounts(std::uint64_t aRun, const UsageByWindow& aCounts,
                Milliseconds aAge = Milliseconds(0));

  /// The sums over all daemons, of all windows that are known.
  [[nodiscard]] UsageByWindow Totals() const;

  /// Age of what the daemon told that has been silent longest and still counts as living.
  [[nodiscard]] Milliseconds Age() const;

  /// The sum over all daemons.
  [[nodiscard]] UsageCounts TotalOf(std::int64_t aWindow) const;

  /// Whether a window that ended so long ago can be reported now.
  [[nodiscard]] bool IsDue(Milliseconds aSinceEnd) const;

  /// Forgets windows before that one.
  void Forget(std::int64_t aBefore);

private:
  struct Run
  {
    TimePoint heard;
    UsageByWindow windows;
  };

  UsageBookSettings settings;
  const Clock& clock;
  std::map<std::uint64_t, Run> runs;
};

} // namespace lagoonward
