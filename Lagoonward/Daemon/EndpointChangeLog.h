#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/LogPosition.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// What a daemon that reads the source regularly knows of a record beyond its text.
enum class RecordEvidence : std::uint8_t
{
  None,
  Left,     ///< The endpoint itself removed its entry; the entry did not lapse.
  Returned, ///< The endpoint had left, and has written enough records since to count as live again.
  Restored, ///< Found when the source had been restored: it may be older than what was known before.
};

/// An endpoint's own record, as its source stores it.
struct EndpointRecord
{
  std::string id;
  std::string text;    ///< Empty for a removed record.
  LogPosition version; ///< Increases with each record of the source.
  bool removed = false;
  RecordEvidence evidence = RecordEvidence::None;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->id, this->text, this->version, this->removed, this->evidence);
  }
};

/// Upper bound of what a record takes in a message.
[[nodiscard]] std::size_t
EncodedBytes(const EndpointRecord& aRecord);

/// The same for a list of records.
[[nodiscard]] std::size_t
EncodedBytes(std::span<const EndpointRecord> aRecords);

/// Log of the records that recently changed a snapshot of the endpoints, for daemons that do not have them yet. Not
/// thread-safe.
class EndpointChangeLog
{
public:
  /// @param aRetention  how long a change is kept
  explicit EndpointChangeLog(Milliseconds aRetention);

  /// Empties the log and starts it: from now on all changes of this version and above are added.
  void StartAt(LogPosition aFirstVersion);

  /// A record has changed the snapshot. No effect before StartAt().
  /// @param aIsInferred  whether the source has no such record, because the endpoint was missing in a full read
  void Add(const EndpointRecord& aRecord, bool aIsInferred, TimePoint aNow);

  /// Drops changes whose retention has ended.
  void DropExpired(TimePoint aNow);

  /// Lowest version from which on the log has no gap.
  [[nodiscard]] LogPosition FirstVersion() const { return this->firstVersion; }

  /// Changes for one message.
  struct Part
  {
    std::vector<EndpointRecord> records;
    /// All changes below this version are among them; nothing if they are all.
    std::optional<LogPosition> endVersion;
  };

  /// The changes of this version and above. Inferred ones are always among them: their version is that of the last
  /// record before the end of the full read, and says little about when the endpoint was removed.
  /// @param aMaximumBytes  if they take more (see EncodedBytes()), the oldest of them, at least one
  [[nodiscard]] Part ChangesFrom(LogPosition aVersion, std::size_t aMaximumBytes) const;

private:
  struct Change
  {
    TimePoint addedAt;
    bool isInferred = false;
    EndpointRecord record;
  };

  Milliseconds retention;
  bool isStarted = false;
  LogPosition firstVersion;
  std::deque<Change> changes; ///< In the order of adding.
};

} // namespace lagoonward
