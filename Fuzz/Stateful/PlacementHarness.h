#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Placement/Placement.h"

#include <array>
#include <map>
#include <memory>
#include <set>

namespace lagoonward::fuzz {

/// Tests Placement with a cloud and engines that refuse orders, lose answers, respond late and terminate, while leaders
/// are replaced. The oracle checks that a token starts one host and that no more hosts are started than the manifest
/// requires; that no order goes to a leaving endpoint and no host is started in a leaving domain; that a version is
/// unloaded only while its replacement is loaded on enough endpoints; and that finally the fleet satisfies the
/// manifest, also after the loss of any one domain, and gets no further orders.
class PlacementHarness
{
public:
  static constexpr std::string_view kName = "placement and orders";
  static constexpr std::array<std::string_view, 12> kOperations{
    "reconcile, execute orders",
    "reconcile, lose orders",
    "reconcile, refuse orders",
    "reconcile, lose answers",
    "advance time",
    "new leader",
    "host crashes",
    "notice to a domain",
    "new version",
    "prices change",
    "weight store delays",
    "change minimum endpoints",
  };

  PlacementHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  /// Outcome of the orders of one round.
  enum class OrderOutcome
  {
    Executed,
    Lost,       ///< The orders never arrive.
    Refused,    ///< The recipients refuse the orders.
    AnswerLost, ///< The orders are executed, but the answers are lost.
  };

  void Reconcile(OrderOutcome aOutcome);
  void CheckOrder(const PlacementOrder& aOrder) const;
  void ExecuteOrder(const PlacementOrder& aOrder, OrderOutcome aOutcome);
  void ExecuteStart(const PlacementOrder& aOrder, OrderOutcome aOutcome);
  void RefreshLoads();
  void ReplaceLeader();
  [[nodiscard]] Endpoint* Find(const std::string& aId);
  [[nodiscard]] DomainCoverage Coverage(const std::string& aVersion) const;

  static constexpr int kDomains = 3;

  VirtualClock clock;
  PlacementSettings settings;
  Manifest manifest;
  Offset offset = 1;
  FleetSnapshot fleet;
  std::unique_ptr<Placement> placement;
  std::map<std::string, std::string> hostOfToken;
  std::set<std::string> leavingDomains;
  int startedHosts = 0;
  int version = 1;
  std::size_t lastOrders = 0; ///< Number of orders of the last round.
};

} // namespace lagoonward::fuzz
