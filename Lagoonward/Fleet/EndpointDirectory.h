#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/AvailabilityInterval.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Settings of EndpointDirectory.
struct EndpointDirectorySettings
{
  /// How long entries that disappear around an outage of their source are kept after the outage ends. Entries
  /// of live endpoints expire with the source and are written again within about two seconds.
  Milliseconds returnGrace{ 2200 };

  /// Entries do not expire in outages up to this length, and outages are detected within it.
  Milliseconds shortestOutage{ 1500 };

  /// How long an endpoint whose entry was removed is retained as leaving. It continues to serve for a while, and
  /// its streams can be moved.
  Milliseconds removedRetention{ 10'000 };
};

/// Effect of the removal of an entry.
enum class RemovalOutcome
{
  Ignored, ///< There is no such entry, or it had been removed before.
  InForce, ///< The endpoint is leaving from now on.
  Held,    ///< The entry may come back, so the endpoint stays live for now.
};

/// A removal that was held and has taken effect.
struct EndedHold
{
  std::string id;
  Milliseconds heldFor{ 0 };
};

/// Endpoints according to the entries that they write to the platform's store. An entry with state "leaving" takes
/// effect immediately and is final for that instance. An endpoint whose entry is removed while the store responds is
/// leaving until the entry reappears. An entry that disappears around an outage of the store is kept for `returnGrace`,
/// unless other hosts observed that the store responded the whole time. An endpoint whose entry cannot be read gets no
/// new requests until it can be read again. Not thread-safe.
class EndpointDirectory
{
public:
  EndpointDirectory(const EndpointDirectorySettings& aSettings, const Clock& aClock);

  /// Handles an entry. A later instance of an id replaces the state of the earlier one; an earlier instance is ignored.
  /// @return whether the snapshot has changed
  bool OnEntry(Endpoint aEndpoint);

  /// Handles an entry that cannot be read: its endpoint is ejected until the entry can be read again.
  /// @return whether the snapshot has changed
  bool OnUnreadable(const std::string& aId);

  /// Handles the removal of an entry. The snapshot has changed if the outcome is InForce.
  RemovalOutcome OnRemoved(const std::string& aId);

  /// Handles a full read of the source: entries that are not among aIds are removed.
  /// @return whether the snapshot has changed
  bool OnFullRead(const std::vector<std::string>& aIds);

  /// Sets whether the source responds.
  void SetSourceAvailable(bool aAvailable);

  /// Adds an interval during which this host or another one observed that the source responded.
  void AddSourceAvailability(const AvailabilityInterval& aSpan);

  /// Applies held removals whose time has come. To be called every few hundred milliseconds.
  /// @return what has taken effect; the snapshot has changed unless it is empty
  [[nodiscard]] std::vector<EndedHold> ApplyHeldRemovals();

  /// Evicts entries that were removed long ago. To be called every few hundred milliseconds.
  /// @return whether the snapshot has changed
  bool EvictRemoved();

  /// Whether the entry of an endpoint was removed, and the removal has taken effect.
  [[nodiscard]] bool IsRemoved(const std::string& aId) const;

  /// The endpoints, in the order of their ids.
  [[nodiscard]] FleetSnapshotPtr Snapshot();

private:
  struct Entry
  {
    Endpoint endpoint;
    std::optional<TimePoint> missingSince; ///< When its entry disappeared around an outage.
    std::optional<TimePoint> removedAt;    ///< When its entry was removed.
    bool unreadable = false;
  };

  [[nodiscard]] bool IsNearOutage() const;
  /// Whether the source responded to other hosts during this host's last outage.
  [[nodiscard]] bool WasAvailableToOthers() const;

  EndpointDirectorySettings settings;
  const Clock& clock;
  std::map<std::string, Entry> entries;
  bool sourceAvailable = true;
  std::optional<TimePoint> outageStart; ///< Start of the last outage.
  std::optional<TimePoint> outageEnd;   ///< End of the last outage.
  AvailabilityInterval availability;    ///< Merged from the observations of all hosts.
  std::uint64_t generation = 0;
};

} // namespace lagoonward
