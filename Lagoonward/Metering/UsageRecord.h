#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Metering/UsageCounter.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Usage of one window. Appended to the log before the window is reported:
/// `{"window":K,"counts":{ACCOUNT:N,...}}`.
struct UsageRecord
{
  std::int64_t window = 0;
  UsageCounts counts;
};

[[nodiscard]] std::optional<UsageRecord>
ReadUsageRecord(std::string_view aText);

[[nodiscard]] std::string
WriteUsageRecord(const UsageRecord& aRecord);

/// Folds the log of usage records. Only the first record of a window is valid, independent of its writer and its time
/// of arrival, so that all reports of a window are equal. Not thread-safe.
class UsageLedger
{
public:
  /// Folds one record. Malformed records and those already read are ignored.
  void Apply(Offset aOffset, std::string_view aData);

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const { return this->next; }

  /// Skips records that the log no longer retains.
  void SkipTo(Offset aOffset);

  /// Begins to read another history of the log, which was restored from an older copy. What was read stays valid.
  void BeginEpoch(std::int64_t aEpoch);

  /// Epoch of the log; nothing before the first read.
  [[nodiscard]] std::optional<std::int64_t> Epoch() const { return this->epoch; }

  /// Records that were read before a restore and have not been read since.
  [[nodiscard]] std::vector<UsageRecord> LostRecords() const;

  /// The valid record of a window, or nullptr.
  [[nodiscard]] const UsageRecord* Find(std::int64_t aWindow) const;

  [[nodiscard]] const std::map<std::int64_t, UsageRecord>& Records() const { return this->records; }

  /// Evicts the windows before the given one.
  void EvictBefore(std::int64_t aBefore);

private:
  std::optional<std::int64_t> epoch;
  Offset next = 0;
  std::map<std::int64_t, UsageRecord> records;
  std::set<std::int64_t> unread; ///< Windows of records that were read before a restore only.
};

} // namespace lagoonward
