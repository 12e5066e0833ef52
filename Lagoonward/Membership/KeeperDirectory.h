#pragma once

#include "Lagoonward/Membership/KeeperPlan.h"

#include <mutex>
#include <vector>

namespace lagoonward {

/// Role of this daemon for a key.
enum class KeeperRole
{
  None,
  Primary,
  Backup,
};

/// Holds the ownership plan (KeeperPlan) of the latest peer view, for all state that is partitioned by key.
/// Thread-safe.
class KeeperDirectory
{
public:
  KeeperDirectory(PeerInfo aSelf, const Clock& aClock);

  /// Recomputes the plan for a new peer view.
  void OnPeers(const PeerView& aView);

  /// Removes this daemon from the plan: while it is leaving, it owns no keys.
  void Drain();

  /// Role of this daemon for a key, by the latest plan.
  [[nodiscard]] KeeperRole RoleOf(std::uint64_t aKey);

  /// Whether the set of daemons has not changed for the given time, so that the current owners owned their keys
  /// throughout.
  [[nodiscard]] bool IsSettled(Milliseconds aDuration);

  /// The owners of a key except this daemon, the primary first.
  [[nodiscard]] std::vector<PeerAddress> OthersFor(std::uint64_t aKey);

private:
  const PeerInfo self;
  const Clock& clock;
  std::mutex mutex; ///< Guards the members below.
  bool draining = false;
  PeerView view;
  KeeperPlan plan;
  TimePoint daemonsChangedAt; ///< When the set of daemons in the plan last changed.
};

} // namespace lagoonward
