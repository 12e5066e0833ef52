#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Metering/UsageCounter.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// What is to be reported of one window, as written down in the log before it is reported:
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

/// Folds the log of usage records. Only the first record of a window counts, whoever wrote it and
/// however late it arrived, so that no two reports of one window differ.
class UsageLedger
{
public:
  /// Folds one record; those read before are ignored.
  void Apply(Offset aOffset, std::string_view aData);

  /// Records from that offset on have been read.
  [[nodiscard]] Offset NextOffset() const { return this->next; }

  /// Skips records that the log no longer keeps.
  void SkipTo(Offset aOffset);

  /// What counts for a window, or nullptr.
  [[nodiscard]] const UsageRecord* Find(std::int64_t aWindow) const;

  [[nodiscard]] const std::map<std::int64_t, UsageRecord>& Records() const { return this->records; }

  /// Forgets windows before that one.
  void Forget(std::int64_t aBefore);

private:
  Offset next = 0;
  std::map<std::int64_t, UsageRecord> records;
};

} // namespace lagoonward
