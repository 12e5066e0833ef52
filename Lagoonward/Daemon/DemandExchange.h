#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Tunables of the exchange of client demand.
struct DemandExchangeSettings
{
  Milliseconds interval{
    1000
  }; ///< Between two messages to a peer, while `peersPerInterval` covers all peers.
  Milliseconds timeout{ 800 }; ///< For one message.
  std::size_t peersPerInterval =
    32; ///< Further peers are served round-robin; see docs/CAPACITY.md.
};

/// Sends the demand of each client at this daemon to the other daemons of the region, so that limits per client hold
/// over the whole deployment, and with it the verdicts on requests that crash endpoints. Applies what the others send.
/// Runs on the control thread.
class DemandExchange
{
public:
  /// Must be constructed before the membership starts.
  DemandExchange(const DemandExchangeSettings& aSettings, MembershipService& aMembership,
                 MarketDirectory& aMarkets, PoisonRequestFilter& aPoison, const std::string& aOwnId,
                 std::string aRegion);

  /// Starts to send. On the control thread.
  void Start();

private:
  void SendAll();
  void HandleMessage(PeerKey aSender, std::string_view aBytes);
  [[nodiscard]] std::vector<PeerAddress> NextPeers();

  DemandExchangeSettings settings;
  MembershipService& membership;
  MarketDirectory& markets;
  PoisonRequestFilter& poison;
  PeerKey ownKey;
  std::string region;
  std::size_t nextPeer =
    0; ///< Position in the region's peers at which the next round-robin turn starts.
};

} // namespace lagoonward
