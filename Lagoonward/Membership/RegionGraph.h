#pragma once

#include "Lagoonward/Membership/PeerEntry.h"

#include <vector>

namespace lagoonward {

/// The daemons of one region in the order of their keys, and what follows from it: who passes news to
/// whom, and who probes whom. Every daemon with the same list computes the same graph. Pure.
class RegionGraph
{
public:
  explicit RegionGraph(PeerKey aSelf);

  /// Takes the region's daemons that are not dead.
  void Rebuild(const PeerEntries& aEntries);

  /// Peers that news goes to from here: the arcs of the generalized de Bruijn graph (Imase and
  /// Itoh), which reaches all n daemons in ceil(log n / log aFanout) steps with aFanout sends each.
  [[nodiscard]] std::vector<PeerKey> Successors(std::size_t aFanout) const;

  /// Whether this daemon is among the subject's aCount monitors: those with the highest rendezvous
  /// weight for its key.
  [[nodiscard]] bool IsMonitorOf(PeerKey aSubject, std::size_t aCount) const;

  /// All daemons, this one included, in order.
  [[nodiscard]] const std::vector<PeerKey>& Keys() const;

private:
  PeerKey self;
  std::vector<PeerKey> keys;
};

} // namespace lagoonward
