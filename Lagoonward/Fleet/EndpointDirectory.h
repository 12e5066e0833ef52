#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/AnsweredSpan.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <map>
#include <optional>
#include <string>

namespace lagoonward {

/// Tunables of the endpoint directory.
struct EndpointDirectorySettings
{
  /// How long entries that vanish around an outage of their source are kept after its return. Entries
  /// of live endpoints lapse with the source and are back within about two seconds.
  Milliseconds returnGrace{ 2200 };

  /// No entry lapses in an outage as short as this, and an outage is noticed within it.
  Milliseconds shortestOutage{ 1500 };

  /// How long an endpoint whose entry was removed is still known, as leaving: it serves on for a while, and
  /// what runs there may be moved.
  Milliseconds removedMemory{ 10'000 };
};

/// Endpoints as their own entries in the platform's store name them. An entry that says "leaving" binds at
/// once and for good; one that is removed while the store answers leaves, too, until it comes back; one that
/// vanishes around an outage of the store gets time to return, unless others saw the store answer all the while; one that
/// cannot be read gets no new work until it can. Not thread-safe.
class EndpointDirectory
{
public:
  EndpointDirectory(const EndpointDirectorySettings& aSettings, const Clock& aClock);

  /// Takes an entry. A later life of its id begins anew; an earlier one changes nothing.
  /// @return whether the picture has changed
  bool OnEntry(Endpoint aEndpoint);

  /// An entry has become unreadable: it names no endpoint to use until it is readable again.
  /// @return whether the picture has changed
  bool OnUnreadable(const std::string& aId);

  /// An entry has been removed.
  /// @return whether the picture has changed
  bool OnRemoved(const std::string& aId);

  /// The source was read whole: entries that are not among the ids have gone.
  /// @return whether the picture has changed
  bool OnWhole(const std::vector<std::string>& aIds);

  /// The source does not answer, or answers again.
  void OnSource(bool aAnswers);

  /// The source was seen to answer during a span, by this host or another one.
  void OnSourceSeen(const AnsweredSpan& aSpan);

  /// Removes what has had its time to return. To be called every few hundred milliseconds.
  /// @return whether the picture has changed
  bool Tick();

  /// The endpoints, in the order of their ids.
  [[nodiscard]] FleetSnapshotPtr Snapshot();

private:
  struct Entry
  {
    Endpoint endpoint;
    std::optional<TimePoint> missingSince; ///< Its entry vanished around an outage.
    std::optional<TimePoint> removedAt;    ///< Its entry was removed.
    bool unreadable = false;
  };

  [[nodiscard]] bool IsAroundOutage() const;
  /// Whether it was only this host that the source did not answer.
  [[nodiscard]] bool WasSeenThroughout() const;

  EndpointDirectorySettings settings;
  const Clock& clock;
  std::map<std::string, Entry> entries;
  bool sourceAnswers = true;
  std::optional<TimePoint> lostAt;       ///< Begin of the last outage.
  std::optional<TimePoint> answersSince; ///< End of the last outage.
  AnsweredSpan seen;                     ///< Joined over all hosts that told.
  std::uint64_t generation = 0;
};

} // namespace lagoonward
