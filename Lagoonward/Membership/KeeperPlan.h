#pragma once

#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Who keeps what all daemons share of one key: a client's limit, an endpoint, a request.
struct Keepers
{
  std::optional<PeerAddress> primary; ///< Nobody only where no daemon stands.
  std::optional<PeerAddress> backup;  ///< In another failure domain, where there is one.
};

/// Which daemons are the keepers of shared keys. By rendezvous hashing, so that keys spread over all daemons, and one that
/// comes or goes moves no other's. Every daemon works it out from its own view, so views that differ for a moment give
/// plans that differ. Not thread-safe.
class KeeperPlan
{
public:
  /// @param aStands  whether this daemon may be a keeper; false while it leaves
  KeeperPlan(const PeerInfo& aSelf, bool aStands, const PeerView& aView);

  /// Who keeps a key. The first call for a key takes time in proportion to the daemons. The reference holds until the
  /// next call.
  [[nodiscard]] const Keepers& KeepersOf(std::uint64_t aKey);

  /// Whether the same daemons may be keepers.
  [[nodiscard]] bool HasSameDaemons(const KeeperPlan& aOther) const;

private:
  struct Standing
  {
    PeerAddress address;
    std::uint64_t domain = 0; ///< Hash of its failure domain.
  };

  std::vector<Standing> daemons;
  std::unordered_map<std::uint64_t, Keepers> known;
};

} // namespace lagoonward
