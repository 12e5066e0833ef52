#pragma once

#include "Lagoonward/Membership/KeyOwnerPlan.h"

#include <mutex>
#include <vector>

namespace lagoonward {

/// Role of this daemon for a key.
enum class KeyOwnerRole
{
  None,
  Primary,
  Backup,
};

/// Holds the ownership plan (KeyOwnerPlan) of the latest peer view, for all state that is partitioned by key.
/// Thread-safe.
class KeyOwnerDirectory
{
public:
  KeyOwnerDirectory(PeerInfo aSelf, const Clock& aClock);

  /// Recomputes the plan for a new peer view.
  void OnPeers(const PeerView& aView);

  /// Removes this daemon from the plan: while it is leaving, it owns no keys.
  void Drain();

  /// Role of this daemon for a key, by the latest plan.
  [[nodiscard]] KeyOwnerRole RoleOf(std::uint64_t aKey);

  /// Whether the set of daemons has not changed for the given time, so that the current owners owned their keys
  /// throughout.
  [[nodiscard]] bool IsStableFor(Milliseconds aDuration);

  /// The owners of a key except this daemon, the primary first.
  [[nodiscard]] std::vector<PeerAddress> OtherOwnersOf(std::uint64_t aKey);

private:
  const PeerInfo self;
  const Clock& clock;
  std::mutex mutex; ///< Guards the members below.
  bool draining = false;
  PeerView view;
  KeyOwnerPlan plan;
  TimePoint daemonsChangedAt; ///< When the set of daemons in the plan last changed.
};

} // namespace lagoonward
