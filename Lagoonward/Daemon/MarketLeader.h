#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Daemon/LeaseFollower.h"
#include "Lagoonward/Daemon/OrderSender.h"
#include "Lagoonward/Placement/Placement.h"

#include <map>
#include <optional>
#include <set>

namespace lagoonward {

/// Inputs of one reconciliation of a market.
struct MarketState
{
  ConfigurationPtr configuration;       ///< The market's active configuration.
  std::vector<ConfigurationPtr> others; ///< Active configurations of the region's other markets.
  FleetSnapshotPtr fleet;
};

/// Receivers of a leader's orders. All must outlive the MarketLeader.
struct OrderTargets
{
  OrderSender& engines;
  CloudService& cloud;
  WeightStore& weights;
};

/// While this daemon leads a market: reconciles the market's fleet with the manifest and executes the orders, each with
/// an authorization of its own from the lease. Level-triggered: a failed order is issued again by a later
/// reconciliation. Blocks in the calls of the OrderTargets; used by one thread.
class MarketLeader
{
public:
  MarketLeader(const FleetManagerSettings& aSettings, std::string aMarket, std::string aRegion,
               LeaseFollower& aLease, OrderTargets aTargets, const Clock& aClock);

  /// One reconciliation. Does nothing while this daemon does not lead.
  void Step(const MarketState& aState);

private:
  [[nodiscard]] bool UpdateTenure(bool aFenced);
  void Execute(const PlacementOrder& aOrder, const MarketState& aState);
  void SendToEngine(const PlacementOrder& aOrder, const MarketState& aState);
  void HandleEngineResponse(const PlacementOrder& aOrder, const OrderGrant& aGrant,
                            const Result<void>& aResponse);
  void StartHost(const PlacementOrder& aOrder);
  void StopHost(const PlacementOrder& aOrder);
  [[nodiscard]] bool ConfirmWeights(const PlacementOrder& aOrder);
  /// An unexpired authorization to send an order in the current tenure; nothing if there is none.
  [[nodiscard]] std::optional<OrderGrant> Authorize(const PlacementOrder& aOrder,
                                                    bool aFenced) const;
  void LogDecision(const PlacementOrder& aOrder, Offset aFencing, std::string_view aOutcome) const;

  const FleetManagerSettings& settings;
  const std::string market;
  const std::string region;
  LeaseFollower& lease;
  OrderTargets targets;
  const Clock& clock;

  std::optional<Placement> placement; ///< State of the tenure below.
  Offset tenure = kNoOffset;
  std::optional<TimePoint> fleetKnownSince; ///< When this daemon first had a fleet snapshot.
  std::map<std::string, int>
    unansweredOrders; ///< Consecutive orders without a response, by endpoint.
  std::set<std::string>
    confirmedWeights;        ///< Model versions that the weight store has confirmed in this round.
  bool loadsDelayed = false; ///< The weight store has not confirmed a version in this round.
};

} // namespace lagoonward
