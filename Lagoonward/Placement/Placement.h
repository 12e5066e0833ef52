#pragma once

#include "Lagoonward/Placement/DomainCoverage.h"
#include "Lagoonward/Placement/OfferChoice.h"

#include <map>
#include <set>

namespace lagoonward {

/// Brings the fleet to one market's manifest and holds it there. Level-triggered: each call compares
/// what is wanted with what the endpoints report and gives the next steps; what it remembers only
/// avoids repeating a step, and a new leader starts without it. No I/O: the caller carries the orders
/// out, with leave from LeaseKeeper::Authorize(), and tells what came of them. Orders repeat until
/// the reports show them done. Not thread-safe; docs/design/placement.md.
class Placement
{
public:
  /// @param aNow  when this daemon took the lead; it only watches for `settle` after that
  Placement(const PlacementSettings& aSettings, std::string aMarket, std::string aRegion,
            TimePoint aNow);

  /// The next steps, in the order in which to take them.
  [[nodiscard]] std::vector<PlacementOrder> Reconcile(const PlacementView& aView, TimePoint aNow,
                                                      WallTime aWallNow);

  /// The weight store asked to wait; no load is ordered before that.
  void DelayLoads(TimePoint aUntil);

  /// An order of the last reconciliation was not sent, or nobody knows whether it arrived. It may be
  /// given again at once, with the same id.
  void OrderWithdrawn(const PlacementOrder& aOrder);

  /// An endpoint refused an order. It gets no other of that kind for a while.
  void OrderRefused(const PlacementOrder& aOrder, TimePoint aNow);

  /// The cloud answered a start. An answer that was lost needs no call; the start is asked for again.
  void HostStarted(const std::string& aToken, const std::string& aHost, TimePoint aNow);
  void HostRefused(const std::string& aToken, TimePoint aNow);

private:
  class Round;

  /// What was ordered and is not seen yet.
  struct Outstanding
  {
    PlacementOrder order;
    TimePoint at;
    WallTime wallAt;
    std::string step; ///< The order's id without the number of the attempt.
  };

  void Forget(const FleetSnapshot& aFleet, TimePoint aNow);

  PlacementSettings settings;
  std::string market;
  std::string region;
  TimePoint activeFrom;
  TimePoint loadsFrom;
  HostStarts starts;
  OfferChoice offers;
  std::map<std::string, Outstanding> outstanding; ///< Loads and unloads, by order id.
  std::map<std::string, int> failedAttempts;      ///< Orders that came to nothing, by step.
  Offset attemptsOf = kNoOffset;                  ///< The configuration that those belong to.
  std::map<std::string, TimePoint> refusedUntil;  ///< By endpoint.
  std::map<std::string, TimePoint> unneededSince; ///< By endpoint, model and version.
  std::map<std::string, TimePoint> spareSince;    ///< By endpoint.
};

} // namespace lagoonward
