#pragma once

#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Who keeps the reserves of one client's limit.
struct ReserveHolders
{
  std::optional<PeerAddress> primary; ///< Nobody only where no daemon stands.
  std::optional<PeerAddress> backup;  ///< In another failure domain, where there is one.
};

/// Which daemons keep the reserves of clients' limits. By rendezvous hashing, so that clients spread over all daemons, and
/// one that comes or goes moves no other's. Every daemon works it out from its own view, so views that differ for a
/// moment give plans that differ. Not thread-safe.
class ReservePlan
{
public:
  /// @param aStands  whether this daemon may keep reserves; false while it leaves
  ReservePlan(const PeerInfo& aSelf, bool aStands, const PeerView& aView);

  /// Who keeps a client's reserves, named by the hash of its account's name. The first call for a client takes time in
  /// proportion to the daemons.
  [[nodiscard]] const ReserveHolders& HoldersOf(std::uint64_t aClient);

private:
  struct Standing
  {
    PeerAddress address;
    std::uint64_t domain = 0; ///< Hash of its failure domain.
  };

  std::vector<Standing> daemons;
  std::unordered_map<std::uint64_t, ReserveHolders> known;
};

} // namespace lagoonward
