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
  explicit KeeperDirectory(PeerInfo aSelf);

  /// The daemons have changed.
  void OnPeers(const PeerView& aView);

  /// This daemon leaves: it keeps nothing any more.
  void Drain();

  [[nodiscard]] KeeperRole RoleOf(std::uint64_t aKey);

  /// The keepers of a key without this daemon, the primary first.
  [[nodiscard]] std::vector<PeerAddress> OthersFor(std::uint64_t aKey);

private:
  const PeerInfo self;
  std::mutex mutex; ///< Guards what follows.
  bool draining = false;
  PeerView view;
  KeeperPlan plan;
};

} // namespace lagoonward
