#pragma once

#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerEntry.h"
#include "Lagoonward/Membership/RegionGraph.h"

#include <vector>

namespace lagoonward {

/// A probe that is to be sent.
struct ProbeOrder
{
  PeerKey to = 0;
  DatagramKind kind = DatagramKind::Ping;
  std::uint32_t nonce = 0;
  PeerKey subject = 0; ///< Only for indirect probes.
};

/// Chooses whom this daemon probes and when: the daemons that it monitors, one or more of each other
/// region, others for a silent one, and from time to time daemons that may have come back. Pure.
class ProbePlan
{
public:
  ProbePlan(const Clock& aClock, PeerKey aSelf, const PeerTableSettings& aSettings);

  /// Chooses the targets again after a change of membership.
  void ChooseTargets(PeerEntries& aEntries, const RegionGraph& aRegion);

  /// Replaces targets in other regions that do not answer.
  void RotateRemoteTargets(PeerEntries& aEntries);

  /// Probes to send now.
  /// @param aIsolated  whether this daemon hears nobody: then it looks for anyone who answers
  [[nodiscard]] std::vector<ProbeOrder> Due(PeerEntries& aEntries, const RegionGraph& aRegion,
                                            bool aIsolated);

private:
  void MarkRemoteTargets(PeerEntries& aEntries);
  void AddProbes(PeerEntry& aEntry, const PeerEntries& aEntries, const RegionGraph& aRegion,
                 std::vector<ProbeOrder>& aOrders);
  void AddIndirectProbes(PeerEntry& aEntry, const PeerEntries& aEntries, const RegionGraph& aRegion,
                         std::vector<ProbeOrder>& aOrders);
  void AddSearchProbes(const PeerEntries& aEntries, bool aIsolated,
                       std::vector<ProbeOrder>& aOrders);
  [[nodiscard]] ProbeOrder MakePing(PeerKey aTo);

  const Clock& clock;
  PeerKey self;
  const PeerTableSettings& settings;
  std::uint32_t nextNonce = 1;
  TimePoint lastSearch;
  std::size_t searchPosition = 0;
  std::uint64_t remoteRound = 0; ///< Rises to choose other remote targets.
};

} // namespace lagoonward
