#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <map>

namespace lagoonward {

/// What the peer table keeps of one other daemon.
struct PeerEntry
{
  Peer peer;
  bool listed = false;       ///< In the host list.
  bool regional = false;     ///< In this daemon's region.
  bool probed = false;       ///< This daemon probes it.
  bool indirectSent = false; ///< Others were asked since the last answer.
  TimePoint lastHeard;       ///< Any authentic datagram, or when probing began.
  TimePoint lastProbe;
  TimePoint stateSince;

  [[nodiscard]] bool IsPresent() const { return this->peer.state != PeerState::Dead; }
};

/// Ordered, so that every daemon sees the same order.
using PeerEntries = std::map<PeerKey, PeerEntry>;

} // namespace lagoonward
