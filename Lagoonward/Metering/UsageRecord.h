#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Metering/UsageCounter.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

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

  /// The valid record of a window, or nullptr.
  [[nodiscard]] const UsageRecord* Find(std::int64_t aWindow) const;

  [[nodiscard]] const std::map<std::int64_t, UsageRecord>& Records() const { return this->records; }

  /// Evicts the windows before the given one.
  void EvictBefore(std::int64_t aBefore);

private:
  Offset next = 0;
  std::map<std::int64_t, UsageRecord> records;
};

} // namespace lagoonward
