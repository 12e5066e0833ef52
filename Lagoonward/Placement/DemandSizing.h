#pragma once

#include "Lagoonward/Core/Clock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonward {

/// Tunables of the sizing of a service by its demand.
struct DemandSizingSettings
{
  /// Target fraction of the endpoints' time that demand uses. At a higher utilization, queueing delays exceed the
  /// latency targets for the first event.
  double utilization = 0.6;

  /// Utilization up to which missing reclaimable endpoints are not replaced by ordinary ones, which cost several times
  /// as much.
  double maximumUtilization = 0.78;

  /// Fraction of the largest failure domain's reclaimable endpoints that ordinary ones replace in advance while some
  /// failure domain has no reclaimable capacity, because reclaims come in waves. With a fraction of 1, large
  /// deployments were served better (worst seconds: 0.43 to 0.56 of their value), but small deployments paid
  /// more for it than they gained (0.02 of a day's value).
  double nextReclaimFraction = 0.5;

  /// Factor on the required number of endpoints, so that enough remain when one failure domain loses its reclaimable
  /// ones.
  double reserveFactor = 1.25;

  /// A count that differs from the last order by at most this fraction is not ordered until `settleTime` has passed:
  /// each order costs a call, and endpoints that start and stop waste their boot time.
  double negligibleFraction = 0.1;

  Milliseconds peakWindow{ 12'000 }; ///< The required count follows the peak load in this window.

  /// Until load has been reported for this long, the initial fleet counts as required.
  Milliseconds loadWarmUp{ 8'000 };

  /// The initial fleet consists of the endpoints discovered within this time after the first one.
  Milliseconds discoveryWindow{ 3'000 };

  /// A failure domain without reclaimable capacity gets no further order for reclaimable endpoints for this long.
  Milliseconds unavailablePause{ 3'000 };

  /// If the live count still differs from the ordered one this long after the boot time, the order is repeated.
  Milliseconds settleTime{ 3'000 };
};

/// Constraints on the orders for a service's endpoints.
struct SizingConstraints
{
  int minimum = 0; ///< Per failure domain, ordinary and reclaimable together.
  int maximum = 0; ///< Likewise.
  Milliseconds bootTime{ 0 };
  std::map<std::string, double> prices; ///< By failure domain; the keys are all its domains.
};

/// Live endpoints of one failure domain, excluding those that are leaving.
struct DomainCount
{
  int ordinary = 0;
  int reclaimable = 0;
};

/// An order for a number of endpoints of one kind in one failure domain.
struct SizingOrder
{
  std::string failureDomain;
  bool reclaimable = false;
  int count = 0;
};

/// Decides how many endpoints one service should have in each failure domain and of which kind. Reclaimable endpoints
/// carry the load, distributed over all failure domains; ordinary ones replace them while reclaimable capacity is
/// unavailable. Performs no I/O: the clock is passed in and orders are only returned. Not thread-safe.
class DemandSizing
{
public:
  DemandSizing(const DemandSizingSettings& aSettings, const Clock& aClock);

  /// Records the load: endpoint seconds that the demand uses per second.
  void OnLoad(double aLoad);

  /// The orders that are due, most urgent first.
  [[nodiscard]] std::vector<SizingOrder> Plan(const SizingConstraints& aConstraints,
                                              const std::map<std::string, DomainCount>& aLive);

  /// Must be called when an order was accepted.
  void OnAccepted(const SizingOrder& aOrder);

  /// Must be called when the failure domain had no capacity for the order.
  void OnUnavailable(const SizingOrder& aOrder);

  /// Number of endpoints required for the load, without the reserve; for logs.
  [[nodiscard]] double RequiredEndpoints() const;

  /// Number of endpoints below which the load cannot be carried; ordinary ones are ordered to reach it.
  [[nodiscard]] double MinimumRequiredEndpoints() const;

private:
  struct OrderState
  {
    int ordered = -1; ///< Last accepted count; -1 for none.
    TimePoint orderedAt;
    TimePoint unavailableUntil;
  };

  using OrderKey = std::pair<std::string, bool>; ///< Failure domain; whether reclaimable.

  struct LoadPoint
  {
    TimePoint at;
    double load = 0;
  };

  [[nodiscard]] std::map<std::string, DomainCount> Target(
    const SizingConstraints& aConstraints, const std::map<std::string, DomainCount>& aLive) const;
  [[nodiscard]] double PeakLoad() const;
  [[nodiscard]] bool IsLoadKnown() const;
  [[nodiscard]] bool IsUnavailable(const std::string& aDomain) const;
  void AddOrder(const std::string& aDomain, bool aReclaimable, int aCount, int aLive,
                Milliseconds aBootTime, std::vector<SizingOrder>& aOrders) const;

  DemandSizingSettings settings;
  const Clock& clock;
  std::map<OrderKey, OrderState> orderStates;
  std::deque<LoadPoint> loads; ///< Loads within the last peakWindow.
  std::optional<TimePoint> firstLoadAt;
  std::optional<TimePoint> firstLiveAt;
  int initialEndpoints = 0; ///< Size of the initial fleet.
};

} // namespace lagoonward
