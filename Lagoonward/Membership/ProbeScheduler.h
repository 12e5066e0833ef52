#pragma once

#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerEntry.h"
#include "Lagoonward/Membership/RegionGraph.h"

#include <vector>

namespace lagoonward {

/// A probe that is due to be sent.
struct ScheduledProbe
{
  PeerKey to = 0;
  DatagramKind kind = DatagramKind::Ping;
  std::uint32_t nonce = 0;
  PeerKey subject = 0; ///< Only for indirect probes.
};

/// Schedules this daemon's probes: of the daemons that it monitors, of one or more daemons of each other
/// region, indirect probes of a daemon that does not respond, and periodic probes of removed daemons that
/// may be reachable again. Performs no I/O; the clock is injected.
class ProbeScheduler
{
public:
  ProbeScheduler(const Clock& aClock, PeerKey aSelf, const PeerTableSettings& aSettings);

  /// Recomputes the targets after a change of membership.
  void ChooseTargets(PeerEntries& aEntries, const RegionGraph& aRegion);

  /// Replaces the targets in other regions if one of them does not respond.
  void RotateRemoteTargets(PeerEntries& aEntries);

  /// Returns the probes to send now.
  /// @param aIsolated  whether this daemon has no contact to any peer; it then probes other daemons too
  [[nodiscard]] std::vector<ScheduledProbe> DueProbes(PeerEntries& aEntries,
                                                      const RegionGraph& aRegion, bool aIsolated);

private:
  void MarkRemoteTargets(PeerEntries& aEntries);
  void AddProbes(PeerEntry& aEntry, const PeerEntries& aEntries, const RegionGraph& aRegion,
                 std::vector<ScheduledProbe>& aOrders);
  void AddIndirectProbes(PeerEntry& aEntry, const PeerEntries& aEntries, const RegionGraph& aRegion,
                         std::vector<ScheduledProbe>& aOrders);
  void AddDiscoveryProbes(const PeerEntries& aEntries, bool aIsolated,
                          std::vector<ScheduledProbe>& aOrders);
  [[nodiscard]] ScheduledProbe MakePing(PeerKey aTo);

  const Clock& clock;
  PeerKey self;
  const PeerTableSettings& settings;
  std::uint32_t nextNonce = 1;
  TimePoint lastDiscovery;
  std::size_t discoveryPosition = 0;
  std::uint64_t remoteRotation = 0; ///< Incremented to choose different remote targets.
};

} // namespace lagoonward
