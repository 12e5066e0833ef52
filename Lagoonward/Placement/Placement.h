#pragma once

#include "Lagoonward/Placement/DomainCoverage.h"
#include "Lagoonward/Placement/OfferSelector.h"

#include <map>
#include <set>

namespace lagoonward {

/// Reconciles the fleet with one market's manifest. Level-triggered: each call compares the desired state with the
/// endpoints' reports and returns the next orders. Its own state only avoids repeating an order; a new leader starts
/// without it. Performs no I/O: the caller executes the orders, authorized by LeaseManager::Authorize(), and reports
/// their results. Orders are repeated until the endpoints' reports show that they took effect. Not thread-safe; see
/// docs/design/placement.md.
class Placement
{
public:
  /// @param aNow  time at which this daemon became leader; it only observes for `settleTime` after that
  Placement(const PlacementSettings& aSettings, std::string aMarket, std::string aRegion,
            TimePoint aNow);

  /// The next orders, in the sequence in which to execute them.
  [[nodiscard]] std::vector<PlacementOrder> Reconcile(const PlacementView& aView, TimePoint aNow,
                                                      WallTime aWallNow);

  /// The weight store requested a delay; no load is ordered before aUntil.
  void DelayLoads(TimePoint aUntil);

  /// An order of the last reconciliation was not sent, or its delivery is unknown. It may be repeated
  /// immediately with the same id.
  void OrderWithdrawn(const PlacementOrder& aOrder);

  /// An endpoint refused an order. It gets no other order of that kind for a while.
  void OrderRefused(const PlacementOrder& aOrder, TimePoint aNow);

  /// The cloud responded to a host start. No call is needed for a lost response: the start is repeated.
  void HostStarted(const std::string& aToken, const std::string& aHost, TimePoint aNow);
  void HostRefused(const std::string& aToken, TimePoint aNow);

private:
  class Round;

  /// An order that does not show in the endpoint's reports yet.
  struct PendingOrder
  {
    PlacementOrder order;
    TimePoint at;
    WallTime wallAt;
    std::string step; ///< The order's id without the number of the attempt.
  };

  void RemoveFinished(const FleetSnapshot& aFleet, TimePoint aNow);

  PlacementSettings settings;
  std::string market;
  std::string region;
  TimePoint activeFrom;
  TimePoint loadsAllowedFrom;
  HostStartTracker hostStarts;
  OfferSelector offerSelector;
  std::map<std::string, PendingOrder> pendingOrders;     ///< Loads and unloads, by order id.
  std::map<std::string, int> failedAttempts;             ///< Orders without effect, by step.
  Offset attemptsConfiguration = kNoOffset;              ///< Configuration of failedAttempts.
  std::map<std::string, TimePoint> refusedUntil;         ///< By endpoint.
  std::map<std::string, TimePoint> unneededVersionSince; ///< By endpoint, model and version.
  std::map<std::string, TimePoint> unneededHostSince;    ///< By endpoint.
};

} // namespace lagoonward
