#pragma once

#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Membership/KeeperDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <deque>
#include <vector>

namespace lagoonward {

/// Tunables of the exchange of crashes.
struct CrashExchangeSettings
{
  Milliseconds timeout{ 800 }; ///< For one message.
  Milliseconds pause{ 300 };   ///< Before a message that got no answer is sent again.
  int attempts = 5;            ///< To one keeper.

  /// Crashes seen here that are told anew where others keep their requests now; the oldest go first.
  std::size_t maximumOwn = 256;
};

/// Tells the keepers of a request's key that an endpoint was lost with it, and takes what others tell of the keys that
/// this daemon keeps. One message to each of two keepers for a crash, whatever the number of daemons. What keepers
/// conclude goes to all daemons with the LoadExchange. Lives on the control thread.
class CrashExchange
{
public:
  /// Must be made before the membership starts; references must outlive it.
  CrashExchange(const CrashExchangeSettings& aSettings, KeeperDirectory& aKeepers,
                MembershipService& aMembership, PoisonGuard& aGuard, const Clock& aClock);

  /// Who keeps what may have changed: what was seen here is told to those who don't know it. On the control thread.
  void OnKeepers();

private:
  /// A crash that was seen here, and who was told of it.
  struct Seen
  {
    CrashReport report;
    TimePoint at;
    std::vector<PeerKey> told;
  };

  void Add(const CrashReport& aReport);
  void TellKeepers(Seen& aSeen);
  void Tell(const PeerAddress& aKeeper, const CrashReport& aReport, TimePoint aAt, int aLeft);

  CrashExchangeSettings settings;
  KeeperDirectory& keepers;
  MembershipService& membership;
  PoisonGuard& guard;
  const Clock& clock;
  std::deque<Seen> seen; ///< The oldest first.
};

} // namespace lagoonward
