#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Routing/Router.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Tunables of the decisions that each market takes.
struct MarketSettings
{
  RoutingSettings routing;
  RoutingTableSettings table;
  AdmissionSettings admission;
  RetryBudgetSettings retries;
  PoisonSettings poison;
  EndpointLimitSettings endpointLimits;
};

/// One market as the traffic threads see it: what is in force, and the modules that decide under it.
class Market
{
public:
  /// @param aSeed  of the sampling; differs between daemons
  Market(std::string aName, const MarketSettings& aSettings, const Clock& aClock,
         std::uint64_t aSeed);

  [[nodiscard]] const std::string& Name() const { return this->name; }

  /// What is in force; null before the first.
  [[nodiscard]] ConfigurationPtr InForce() const;

  /// Notes that the market's stream was read to its end and holds no configuration. Control thread.
  void MarkEmpty() { this->knownEmpty = true; }

  /// Whether it is certain that nothing was in force when last looked.
  [[nodiscard]] bool IsKnownEmpty() const { return this->knownEmpty; }

  /// Takes a newer configuration into use; an older or equal one changes nothing. Control thread.
  void ApplyConfiguration(const ConfigurationPtr& aConfiguration);

  /// Takes the endpoints of the market's failure domains into use. Control thread.
  void ApplyFleet(const FleetSnapshot& aFleet);

  /// How many daemons share the traffic, this one included.
  void SetLiveDaemons(int aCount);

  Router router;
  Admission admission;
  RetryBudget retryBudget;
  PoisonGuard poison;
  EndpointLimits endpointLimits;

private:
  const std::string name;
  MarketSettings settings;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards `configuration`.
  ConfigurationPtr configuration;
  std::atomic<bool> knownEmpty{ false };
};

using MarketPtr = std::shared_ptr<Market>;

/// All markets by name. The control thread adds, any thread reads.
class MarketDirectory
{
public:
  MarketDirectory(const MarketSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// The market of that name, created if it is new.
  MarketPtr FindOrAdd(const std::string& aName);

  /// The market of that name, or null.
  [[nodiscard]] MarketPtr Find(std::string_view aName) const;

  /// All markets that have a configuration in force.
  [[nodiscard]] std::vector<MarketPtr> InForce() const;

private:
  MarketSettings settings;
  const Clock& clock;
  std::uint64_t seed;
  mutable std::mutex mutex; ///< Guards `markets`.
  std::map<std::string, MarketPtr, std::less<>> markets;
};

} // namespace lagoonward
