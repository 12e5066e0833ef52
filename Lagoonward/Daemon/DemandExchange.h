#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Tunables of the exchange of client demand.
struct DemandExchangeSettings
{
  Milliseconds interval{ 1000 }; ///< Between two messages to the same peer, while all are reached.
  Milliseconds timeout{ 800 };   ///< For one message.
  std::size_t peersPerInterval = 32; ///< More peers are reached in turn; see docs/CAPACITY.md.
};

/// Tells the region's other daemons what each client asks for here, so that limits per client hold
/// over the whole deployment, and which requests crash endpoints, and takes in what they tell. Lives on the control thread.
class DemandExchange
{
public:
  /// Must be made before the membership starts.
  DemandExchange(const DemandExchangeSettings& aSettings, MembershipService& aMembership,
                 MarketDirectory& aMarkets, PoisonGuard& aPoison, const std::string& aOwnId,
                 std::string aRegion);

  /// Begins to send. On the control thread.
  void Start();

private:
  void SendAll();
  void Take(PeerKey aSender, std::string_view aBytes);
  [[nodiscard]] std::vector<PeerAddress> NextPeers();

  DemandExchangeSettings settings;
  MembershipService& membership;
  MarketDirectory& markets;
  PoisonGuard& poison;
  PeerKey self;
  std::string region;
  std::size_t nextPeer = 0; ///< Where the next turn begins.
};

} // namespace lagoonward
