#pragma once

#include "Lagoonward/Metering/UsageRecord.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace lagoonward {

/// What a UsageReporter works with.
struct UsageReporterPorts
{
  LogService* log = nullptr; ///< Holds the records of what is reported. Must outlive the reporter.
  std::string stream;        ///< In which they stand.
  int page = 0;              ///< Records read at once.

  /// Reports a window outside. Blocks. Errors: StaleFencing when a higher number was seen.
  std::function<Result<void>(const UsageRecord&, Offset aFencing)> report;
  /// The fencing number if this daemon may act now.
  std::function<std::optional<Offset>()> mayAct;
  /// A report was refused, as another daemon leads.
  std::function<void(Offset aFencing)> onRefused;

  /// What all daemons count for a window, as far as it is known here.
  std::function<UsageCounts(std::int64_t aWindow)> countsOf;
  /// Whether a window that ended so long ago can be reported now.
  std::function<bool(Milliseconds aSinceEnd)> isDue;
  /// Windows before that one are not asked for any more.
  std::function<void(std::int64_t aBefore)> forget;
};

/// Reports the usage of each window once, on behalf of all daemons: what is to be reported is written down in a log first, and
/// the first record of a window counts, so that no two reports of it differ.
///
/// A window is reported as soon as it is due and for kUsageReportable after its end: this daemon may have stood still, or
/// nobody may have led meanwhile. What is known then and cannot be reported any more is written to the log
/// (`usage_lost`, `usage_short`). Lives on one thread.
class UsageReporter
{
public:
  UsageReporter(UsageReporterPorts aPorts, const UsageCounter& aUsage);

  /// Reports what is due. To be called some times a second by every daemon that may lead.
  void Step();

private:
  [[nodiscard]] bool ReadLog();
  [[nodiscard]] bool WriteDown(std::int64_t aWindow);
  /// @return false where nothing further can be reported now
  [[nodiscard]] bool Report(std::int64_t aWindow);
  void ForgetBefore(std::int64_t aWindow);
  /// Says what of a window's usage no report has told, now that none can.
  void NoteUnreported(std::int64_t aWindow) const;

  UsageReporterPorts ports;
  const UsageCounter& usage;
  UsageLedger ledger;
  bool knowsLedger =
    false; ///< The log was read to its end, and nothing stands in it that is not in `ledger`.
  std::set<std::int64_t> reported;
  std::int64_t forgottenBefore = 0; ///< Zero before the first step.
};

} // namespace lagoonward
