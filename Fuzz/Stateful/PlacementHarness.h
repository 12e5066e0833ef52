#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Placement/Placement.h"

#include <array>
#include <map>
#include <memory>
#include <set>

namespace lagoonward::fuzz {

/// Placement before a cloud and engines that refuse, lose answers, are late and go away, with leaders
/// that are replaced. The oracle: a token starts one host and no host is started beyond what the
/// manifest needs; nothing is ordered from a leaving endpoint or started in a going domain; a version
/// is unloaded only while its replacement is loaded widely enough; in the end the fleet meets the
/// manifest, survives the loss of any domain, and is left alone.
class PlacementHarness
{
public:
  static constexpr std::string_view kName = "placement and orders";
  static constexpr std::array<std::string_view, 12> kOperations{
    "reconcile, obey",
    "reconcile, lose orders",
    "reconcile, refuse orders",
    "reconcile, lose answers",
    "advance time",
    "new leader",
    "host dies",
    "notice to a domain",
    "new version",
    "prices move",
    "weight store delays",
    "other minimum",
  };

  PlacementHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  /// What happens to the orders of one round.
  enum class Fate
  {
    Obeyed,
    Lost,       ///< Never arrive.
    Refused,    ///< Refused by who gets them.
    AnswerLost, ///< Obeyed, and nobody learns of it.
  };

  void Reconcile(Fate aFate);
  void CheckOrder(const PlacementOrder& aOrder) const;
  void Obey(const PlacementOrder& aOrder, Fate aFate);
  void ObeyStart(const PlacementOrder& aOrder, Fate aFate);
  void Refresh();
  void Lead();
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
  std::set<std::string> goingDomains;
  int hosts = 0;
  int version = 1;
  std::size_t lastOrders = 0; ///< Of the last round.
};

} // namespace lagoonward::fuzz
