#pragma once

#include "Lagoonward/Membership/PeerEntry.h"

#include <vector>

namespace lagoonward {

/// The daemons of one region in the order of their keys, the dissemination graph over them, and the
/// assignment of monitors. Every daemon with the same list computes the same graph. Performs no I/O.
class RegionGraph
{
public:
  explicit RegionGraph(PeerKey aSelf);

  /// Rebuilds the list from the region's daemons that are not dead.
  void Rebuild(const PeerEntries& aEntries);

  /// Peers that this daemon forwards updates to: its arcs in the generalized de Bruijn graph (Imase and
  /// Itoh), which reaches all n daemons in ceil(log n / log aFanout) steps with aFanout sends each.
  [[nodiscard]] std::vector<PeerKey> Successors(std::size_t aFanout) const;

  /// Whether this daemon is among the subject's aCount monitors: those with the highest rendezvous
  /// weight for its key.
  [[nodiscard]] bool IsMonitorOf(PeerKey aSubject, std::size_t aCount) const;

  /// The keys of all daemons, this one included, in ascending order.
  [[nodiscard]] const std::vector<PeerKey>& Keys() const;

private:
  PeerKey self;
  std::vector<PeerKey> keys;
};

} // namespace lagoonward
