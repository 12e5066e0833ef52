#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <map>

namespace lagoonward {

/// Entry of the peer table for one other daemon.
struct PeerEntry
{
  Peer peer;
  bool listed = false;       ///< In the host list.
  bool regional = false;     ///< In this daemon's region.
  bool probed = false;       ///< Probed by this daemon.
  bool indirectSent = false; ///< Indirect probes were sent since the last contact.
  TimePoint lastContact;     ///< Last authentic datagram, or the start of probing.
  TimePoint lastProbe;
  TimePoint stateSince;

  [[nodiscard]] bool IsPresent() const { return this->peer.state != PeerState::Dead; }
};

/// Ordered by key, so that every daemon iterates in the same order.
using PeerEntries = std::map<PeerKey, PeerEntry>;

} // namespace lagoonward
