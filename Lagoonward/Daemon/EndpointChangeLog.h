#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/LogPosition.h"

#include <cstdint>
#include <deque>
#include <optional>
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

/// A full read of a source that had been read before, or another daemon's complete snapshot in its place. Endpoints that
/// came and left since what was known before it are in no record here, yet other daemons may know them: who takes changes
/// from before its end has to remove what is not present in it.
struct EndpointFullRead
{
  LogPosition end; ///< It contains all records below this version.
  std::vector<std::uint64_t>
    present; ///< HashBytes() of the ids of the endpoints that exist, in ascending order.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->end, this->present);
  }
};

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

  /// The snapshot has been completed by a full read. Replaces an earlier one, as an endpoint that is absent in both need
  /// only be found once. No effect before StartAt().
  void AddFullRead(EndpointFullRead aFullRead, TimePoint aNow);

  /// Drops changes whose retention has ended.
  void DropExpired(TimePoint aNow);

  /// Lowest version from which on the log has no gap.
  [[nodiscard]] LogPosition FirstVersion() const { return this->firstVersion; }

  /// The changes of this version and above. Inferred ones are always among them: their version is that of the last
  /// record before the end of the full read, and says little about when the endpoint was removed.
  [[nodiscard]] std::vector<EndpointRecord> ChangesFrom(LogPosition aVersion) const;

  /// The last full read if it ended above a version: changes from there on are only complete together with it.
  [[nodiscard]] std::optional<EndpointFullRead> FullReadAfter(LogPosition aVersion) const;

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
  std::optional<EndpointFullRead> fullRead;
  TimePoint fullReadAt; ///< When it was added.
};

} // namespace lagoonward
