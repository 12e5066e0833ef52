#pragma once

#include "Lagoonward/Leadership/LeaseSettings.h"
#include "Lagoonward/Placement/PlacementSettings.h"
#include "Lagoonward/Providers/PlatformSettings.h"

namespace lagoonward {

/// Tunables of the FleetManager.
struct FleetManagerSettings
{
  Milliseconds roundInterval{ 1000 };  ///< Between two reconciliations of a market.
  Milliseconds marketInterval{ 1000 }; ///< Between two checks for new markets.

  /// Longest wait of one read of a lease stream by a candidate. Bounds how late it renews.
  Milliseconds leaseReadWait{ 1000 };

  /// Between two reads of a lease stream by a daemon whose rank is too high to be a candidate.
  Milliseconds nonCandidateReadInterval{ 5000 };

  Milliseconds leaseRetryPause{ 500 }; ///< After a read of a lease stream failed.
  Milliseconds leaseIdlePause{ 50 };   ///< After a read without new records.
  Milliseconds leaseRenewalCheckInterval{
    100
  }; ///< Between two checks of a holder whether a renewal is due.
  Milliseconds leaderAnnouncedPause{
    250
  };                   ///< Between two steps while announcements of the leader arrive.
  int leasePage = 256; ///< Lease records per read.

  /// Longest wait of a drain until the log shows that the leases have been resigned.
  Milliseconds resignTimeout{ 2500 };

  /// Time without orders after a daemon becomes the leader, where it has known the fleet for at least
  /// `placement.settleTime` less this time. Otherwise it waits until `placement.settleTime` has passed since it first
  /// knew the fleet.
  Milliseconds takeoverDelay{ 3000 };

  int maximumUnansweredOrders =
    3; ///< Consecutive orders without a response, after which an order counts as refused by the engine.
  Milliseconds unknownWeightsDelay{
    10'000
  }; ///< Delay of loads after the weight store did not know the weights.

  LeaseSettings lease;
  PlacementSettings placement;
  PlatformSettings platform; ///< `callTimeout` must stay below `lease.handover`.
};

} // namespace lagoonward
