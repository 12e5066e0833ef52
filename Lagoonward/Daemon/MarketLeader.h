#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Daemon/LeaseFollower.h"
#include "Lagoonward/Daemon/OrderSender.h"
#include "Lagoonward/Placement/Placement.h"

#include <map>
#include <optional>
#include <set>

namespace lagoonward {

/// What one round of a market's management looks at.
struct MarketScene
{
  ConfigurationPtr configuration;       ///< In force in the market.
  std::vector<ConfigurationPtr> others; ///< In force in the other markets of the region.
  FleetSnapshotPtr fleet;
};

/// Where a leader's orders go. All outlive it.
struct OrderOutlets
{
  OrderSender& engines;
  CloudService& cloud;
  WeightStore& weights;
};

/// While this daemon leads a market: reconciles its fleet with the manifest and carries the orders
/// out, each with leave of its own. Level-triggered; what fails is given again in a later round.
/// Blocks in the outlets' calls; used by one thread.
class MarketLeader
{
public:
  MarketLeader(const FleetManagerSettings& aSettings, std::string aMarket, std::string aRegion,
               LeaseFollower& aLease, OrderOutlets aOutlets, const Clock& aClock);

  /// One round. Does nothing while another daemon leads.
  void Step(const MarketScene& aScene);

private:
  [[nodiscard]] bool TakeLead(bool aFenced);
  void CarryOut(const PlacementOrder& aOrder, const MarketScene& aScene);
  void CarryToEngine(const PlacementOrder& aOrder, const MarketScene& aScene);
  void TakeEngineAnswer(const PlacementOrder& aOrder, const OrderGrant& aGrant,
                        const Result<void>& aAnswer);
  void StartHost(const PlacementOrder& aOrder);
  void StopHost(const PlacementOrder& aOrder);
  [[nodiscard]] bool HasWeights(const PlacementOrder& aOrder);
  /// Leave to send an order, which has not run out.
  [[nodiscard]] std::optional<OrderGrant> Ask(const PlacementOrder& aOrder, bool aFenced) const;
  void LogDecision(const PlacementOrder& aOrder, Offset aFencing, std::string_view aOutcome) const;

  const FleetManagerSettings& settings;
  const std::string market;
  const std::string region;
  LeaseFollower& lease;
  OrderOutlets outlets;
  const Clock& clock;

  std::optional<Placement> placement; ///< Of the tenure below.
  Offset tenure = kNoOffset;
  std::optional<TimePoint> knownSince;   ///< When this daemon first saw the fleet.
  std::map<std::string, int> unanswered; ///< Orders in a row without an answer, by endpoint.
  std::set<std::string> weightsReady;    ///< Model versions that the store has promised this round.
  bool weightsWait = false;              ///< The store has asked to wait in this round.
};

} // namespace lagoonward
