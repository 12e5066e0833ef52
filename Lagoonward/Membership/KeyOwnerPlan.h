#pragma once

#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Owners of the shared state of one key. A key stands for a client's limit, an endpoint or a request.
struct KeyOwners
{
  std::optional<PeerAddress> primary; ///< Empty only if no daemon is eligible.
  std::optional<PeerAddress> backup;  ///< In another failure domain if there is one.
};

/// Assigns keys to owner daemons by rendezvous hashing. Keys are distributed over all daemons, and a daemon that joins
/// or leaves does not move the keys of others. Every daemon computes the plan from its own peer view, so plans differ
/// while views differ. Not thread-safe.
class KeyOwnerPlan
{
public:
  /// @param aEligible  whether this daemon may own keys; false while it is leaving
  KeyOwnerPlan(const PeerInfo& aSelf, bool aEligible, const PeerView& aView);

  /// Owners of a key. The first call for a key takes time linear in the number of daemons; later ones are cached. The
  /// reference is valid until the next call.
  [[nodiscard]] const KeyOwners& OwnersOf(std::uint64_t aKey);

  /// Whether both plans have the same eligible daemons.
  [[nodiscard]] bool HasSameDaemons(const KeyOwnerPlan& aOther) const;

private:
  struct Candidate
  {
    PeerAddress address;
    std::uint64_t domain = 0; ///< Hash of the failure domain.
  };

  std::vector<Candidate> daemons;
  std::unordered_map<std::uint64_t, KeyOwners> cache;
};

} // namespace lagoonward
