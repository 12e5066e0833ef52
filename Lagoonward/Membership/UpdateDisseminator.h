#pragma once

#include "Lagoonward/Membership/EndpointMonitor.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerExchange.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <span>

namespace lagoonward {

/// Sends datagrams to other daemons and fills each with the membership changes that fit. Used on the control thread
/// only.
class UpdateDisseminator
{
public:
  /// References to the components whose updates it sends. They must outlive it.
  struct Components
  {
    PeerTransport& transport;
    PeerTable& peers;
    EndpointMonitor& loads;
    PeerExchange& exchange;
  };

  UpdateDisseminator(Components aComponents, const MembershipSettings& aSettings);

  /// Sends one datagram, adding this daemon's own state (except for kind `Spread`) and the membership changes that fit.
  void Send(PeerKey aPeer, Datagram aDatagram);

  /// Sends queued load facts, within their byte budget.
  void SendLoads();

  /// Sends queued endpoint states and versions of shared states.
  /// @return whether an endpoint state was among them
  bool SendUpdates();

  /// Sends this daemon's own state to a few daemons of the region.
  void SendOwnState();

private:
  void SendInRegion(std::vector<EndpointStateUpdate> aStates,
                    std::span<const VersionAnnouncement> aVersions);
  void SendToOtherRegions(std::span<const VersionAnnouncement> aVersions);

  Components components;
  const MembershipSettings& settings;
};

} // namespace lagoonward
