#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/AvailabilityInterval.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Settings of EndpointDirectory. The defaults are for a leaving endpoint that must be known within two seconds.
struct EndpointDirectorySettings
{
  /// How long entries that disappear around an outage of their source are kept after the outage ends. Entries
  /// of live endpoints expire with the source and are written again within about two seconds.
  Milliseconds returnGrace{ 2200 };

  /// Longest time that a removal is held which the source certainly accepted after the outage, from the earliest time at
  /// which it can have done so. The rest of the time in which a leaving endpoint must be known is for the next check and
  /// for requests on their way.
  Milliseconds maximumHold{ 1500 };

  /// Records that an endpoint must write after it has removed its entry before it counts as live again. A record or two
  /// may have been on their way when the entry was removed.
  int recordsOfReturn = 3;

  /// Entries do not expire in outages up to this length, and outages are detected within it.
  Milliseconds shortestOutage{ 1500 };

  /// How long an endpoint whose entry was removed is retained as leaving. It continues to serve for a while, and
  /// its streams can be moved.
  Milliseconds removedRetention{ 10'000 };
};

/// What is known of the removal of an entry.
struct EntryRemoval
{
  /// Earliest time at which the source can have accepted it; TimePoint::min() if unknown.
  TimePoint notBefore = TimePoint::min();
  bool mayHaveLapsed = true; ///< Whether the source may have removed it because it was not renewed.
};

/// Effect of an entry that was read.
enum class EntryOutcome
{
  Unchanged, ///< Nothing new.
  Changed,   ///< The snapshot has changed.
  Returned, ///< The same: the endpoint had left, and has written enough records since to count as live again.
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
/// leaving until the entry reappears; if the endpoint itself removed it, until it was written several times again. An
/// entry that may have lapsed in an outage of the store is kept for a while after it, unless this host or others observed
/// that the store responded, with shorter pauses than an entry needs to lapse; one that vanished in a restore of the store
/// is kept for the same time. An endpoint whose entry cannot be read gets no new requests until it can be read
/// again. Not thread-safe.
class EndpointDirectory
{
public:
  EndpointDirectory(const EndpointDirectorySettings& aSettings, const Clock& aClock);

  /// Handles an entry. A later instance of an id replaces the state of the earlier one; an earlier instance is ignored.
  /// @param aIsConfirmed  whether another host has found that the endpoint counts as live again after it had left
  EntryOutcome OnEntry(Endpoint aEndpoint, bool aIsConfirmed = false);

  /// Handles an entry that cannot be read: its endpoint is ejected until the entry can be read again.
  /// @return whether the snapshot has changed
  bool OnUnreadable(const std::string& aId);

  /// Handles the removal of an entry. The snapshot has changed if the outcome is InForce.
  RemovalOutcome OnRemoved(const std::string& aId, const EntryRemoval& aRemoval = {});

  /// Sets whether the source responds.
  void SetSourceAvailable(bool aAvailable);

  /// The source was restored from an older copy: entries that are missing are written again, and are kept until then.
  void OnSourceRestored();

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

  /// Whether an endpoint has an entry that is not removed, whatever the entry says.
  [[nodiscard]] bool IsLive(const std::string& aId) const;

  /// The endpoints, in the order of their ids.
  [[nodiscard]] FleetSnapshotPtr Snapshot();

private:
  /// A removal that is held.
  struct Hold
  {
    TimePoint since;
    /// When it ends whatever else happens; TimePoint::max() for one that the source may have accepted in an outage.
    TimePoint latestEnd = TimePoint::max();
  };

  struct Entry
  {
    Endpoint endpoint;
    std::optional<Hold> hold;           ///< While its removal is held.
    std::optional<TimePoint> removedAt; ///< When its removal took effect.
    bool hasLeft = false;               ///< Its endpoint removed the entry; it did not lapse.
    int recordsSinceRemoval = 0;        ///< Only if hasLeft.
    bool unreadable = false;
  };

  /// End of the last outage as far as any host knows; TimePoint::max() while it lasts. Where the source responded to this
  /// host or to others throughout this host's last outage, but for pauses that are shorter than the shortest outage, that
  /// of an earlier one. Only after an outage.
  [[nodiscard]] TimePoint OutageEnd() const;
  /// When the source had the last event in which entries of live endpoints may have vanished: the end of an outage, or a
  /// restore.
  [[nodiscard]] std::optional<TimePoint> LastDisturbance() const;
  [[nodiscard]] Hold MakeHold(const EntryRemoval& aRemoval) const;
  [[nodiscard]] bool MustHold(const Hold& aHold) const;

  EndpointDirectorySettings settings;
  const Clock& clock;
  std::map<std::string, Entry> entries;
  bool sourceAvailable = true;
  std::optional<TimePoint> outageStart; ///< Start of the last outage.
  std::optional<TimePoint> outageEnd;   ///< End of the last outage.
  std::optional<TimePoint> restoredAt;  ///< When the last restore of the source was found.
  AvailabilityInterval availability;    ///< Merged from the observations of all hosts.
  std::uint64_t generation = 0;
};

} // namespace lagoonward
