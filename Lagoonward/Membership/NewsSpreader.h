#pragma once

#include "Lagoonward/Membership/LoadWatch.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerExchange.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <span>

namespace lagoonward {

/// Sends datagrams to other daemons and fills each with the news that fits. Lives on the control
/// thread.
class NewsSpreader
{
public:
  /// The parts that it sends for. All outlive it.
  struct Parts
  {
    PeerTransport& transport;
    PeerTable& peers;
    LoadWatch& loads;
    PeerExchange& exchange;
  };

  NewsSpreader(Parts aParts, const MembershipSettings& aSettings);

  /// Sends one datagram, with the sender's own state and what membership changes fit.
  void Send(PeerKey aPeer, Datagram aDatagram);

  /// Passes load readings on, within their budget.
  void SpreadLoads();

  /// Passes states of endpoints and versions of shared states on.
  /// @return whether a state of an endpoint was among them
  bool SpreadNews();

  /// Tells a few daemons of the region what is new of this one.
  void SpreadOwnState();

private:
  void SpreadInRegion(std::vector<StateFact> aStates, std::span<const VersionNote> aNotes);
  void SpreadToRegions(std::span<const VersionNote> aNotes);

  Parts parts;
  const MembershipSettings& settings;
};

} // namespace lagoonward
