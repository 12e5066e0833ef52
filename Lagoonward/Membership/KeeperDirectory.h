#pragma once

#include "Lagoonward/Membership/KeeperPlan.h"

#include <mutex>
#include <vector>

namespace lagoonward {

/// What this daemon is for a key.
enum class KeeperRole
{
  None,
  Primary,
  Backup,
};

/// The newest KeeperPlan, for all that daemons keep for each other. Thread-safe.
class KeeperDirectory
{
public:
  KeeperDirectory(PeerInfo aSelf, const Clock& aClock);

  /// The daemons have changed.
  void OnPeers(const PeerView& aView);

  /// This daemon leaves: it keeps nothing any more.
  void Drain();

  [[nodiscard]] KeeperRole RoleOf(std::uint64_t aKey);

  /// Whether the daemons have been the same for a time, so that whoever keeps a key now kept it all along.
  [[nodiscard]] bool IsSettled(Milliseconds aFor);

  /// The keepers of a key without this daemon, the primary first.
  [[nodiscard]] std::vector<PeerAddress> OthersFor(std::uint64_t aKey);

private:
  const PeerInfo self;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  bool draining = false;
  PeerView view;
  KeeperPlan plan;
  TimePoint changedAt; ///< When other daemons began to stand.
};

} // namespace lagoonward
