#include "Lagoonward/Membership/PeerInfo.h"

#include <algorithm>

namespace lagoonward {

const Peer*
PeerView::Find(PeerKey aKey) const
{
  const auto found =
    std::lower_bound(this->peers.begin(), this->peers.end(), aKey,
                     [](const Peer& aPeer, PeerKey aWanted) { return aPeer.key < aWanted; });
  return found != this->peers.end() && found->key == aKey ? &*found : nullptr;
}

} // namespace lagoonward
