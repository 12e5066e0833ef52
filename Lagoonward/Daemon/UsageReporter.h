#pragma once

#include "Lagoonward/Metering/UsageRecord.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace lagoonward {

/// Dependencies of a UsageReporter.
struct UsageReporterPorts
{
  LogService* log = nullptr; ///< Contains the records of reported usage. Must outlive the reporter.
  std::string stream;        ///< Stream of the log that contains the records.
  int page = 0;              ///< Records per read.

  /// Sends the report of a window to the platform. Blocks. Errors: StaleFencing if the platform has seen a higher
  /// number.
  std::function<Result<void>(const UsageRecord&, Offset aFencing)> report;
  /// The fencing number, if this daemon may act as the leader now.
  std::function<std::optional<Offset>()> fencingIfLeader;
  /// Called when a report was refused because another daemon is the leader.
  std::function<void(Offset aFencing)> onRefused;

  /// Sum of the counts of all daemons for a window, as far as this daemon knows them.
  std::function<UsageCounts(std::int64_t aWindow)> countsOf;
  /// Whether a window that ended this long ago can be reported now.
  std::function<bool(Milliseconds aSinceEnd)> isDue;
  /// Epoch of the log as far as this daemon knows it; see LogPosition.
  std::function<std::int64_t()> logEpoch = [] { return std::int64_t{ 0 }; };
  /// Called when the counts of windows before the given one are no longer needed.
  std::function<void(std::int64_t aBefore)> expireBefore;
};

/// Reports the usage of each window once, on behalf of all daemons. The counts are appended to a log before they are
/// reported, and the first record of a window in the log is authoritative, so that no two reports of a window differ.
///
/// A window can be reported from when it is due until kUsageReportPeriod after its end, as this daemon may have been
/// suspended or there may have been no leader in the meantime. Usage that is known then and can no longer be reported
/// is logged (`usage_lost`, `usage_short`). To be used by one thread.
///
/// A restore of the log from an older copy may lose records of windows that were reported. Every daemon that has read them
/// keeps them and appends them again. If none of these lives, nobody knows whether a window that ended before the restore
/// was reported, and with which counts; without a record it is not reported.
class UsageReporter
{
public:
  UsageReporter(UsageReporterPorts aPorts, const UsageCounter& aUsage);

  /// Reports all windows that are due. To be called several times a second by every daemon that may become leader.
  void Step();

private:
  [[nodiscard]] bool ReadLog();
  /// Whether the log was restored from an older copy since this daemon read it.
  [[nodiscard]] bool IsLogRestored() const;
  /// Finds out whether the log was restored since the last step.
  void CheckEpoch();
  /// Whether the window may have been reported in a former epoch of the log, whose records are lost.
  [[nodiscard]] bool MayHaveLostRecord(std::int64_t aWindow) const;
  /// Appends the records again that a restore of the log has lost, so that no later leader reports other counts.
  void AppendLostRecords();
  /// Ensures that the ledger contains the record of a window, and appends it to the log otherwise.
  /// @return whether the ledger contains it
  [[nodiscard]] bool EnsureRecorded(std::int64_t aWindow);
  /// @return false if no further window can be reported now
  [[nodiscard]] bool Report(std::int64_t aWindow);
  void ExpireBefore(std::int64_t aWindow);
  /// Logs usage of a window that no report contains, once it can no longer be reported.
  void LogUnreported(std::int64_t aWindow) const;

  UsageReporterPorts ports;
  const UsageCounter& usage;
  UsageLedger ledger;
  bool isLedgerCurrent = false; ///< Whether `ledger` contains all records of the log.
  std::int64_t seenEpoch = 0;   ///< Newest epoch of the log that this daemon has heard of.
  /// The window in which it heard of it: earlier ones ended before, zero if the log was never restored.
  std::int64_t epochWindow = 0;
  std::set<std::int64_t> reported;
  std::int64_t expiredBefore = 0; ///< Zero before the first step.
};

} // namespace lagoonward
