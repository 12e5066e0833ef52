#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/BrittleServices.h"
#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Admission/PlaceRegistry.h"
#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Queueing/QueuePoolsStore.h"
#include "Lagoonward/Queueing/SlotRegistry.h"
#include "Lagoonward/Routing/Router.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Settings of the modules that decide for each market.
struct MarketSettings
{
  RoutingSettings routing;
  RoutingTableSettings table;
  AdmissionSettings admission;
  RetryBudgetSettings retries;
  PoisonFilterSettings poison;
  /// A part is shared by many requests, so it takes more crashes to blame it: one below the number after which it must
  /// be known, as one may go unnoticed.
  PoisonFilterSettings poisonParts{ .subject = "part",
                                    .crashesToPoison = 4,
                                    .maximumCompletions = 16384 };
  EndpointLimitSettings endpointLimits;
  BrittleServiceSettings brittle;
  EndpointNoticeSettings notices;
};

/// One market for the traffic threads: its configuration in force and the modules that route and admit its requests.
/// Used by the traffic threads; functions marked so are called on the control thread only.
class Market
{
public:
  /// @param aSeed  seed of the sampling; differs between daemons
  Market(std::string aName, const MarketSettings& aSettings, const Clock& aClock,
         std::uint64_t aSeed);

  [[nodiscard]] const std::string& Name() const { return this->name; }

  /// The configuration in force; null before the first one.
  [[nodiscard]] ConfigurationPtr ConfigurationInForce() const;

  /// Records that the market's stream was read to its end and holds no configuration. Control thread only.
  void MarkUnconfigured() { this->knownUnconfigured = true; }

  /// Whether a complete read of the market's stream found no configuration.
  [[nodiscard]] bool IsKnownUnconfigured() const { return this->knownUnconfigured; }

  /// Puts a newer configuration in force; an older or equal one is ignored. Control thread only.
  void ApplyConfiguration(const ConfigurationPtr& aConfiguration);

  /// Builds the routing table from the endpoints in the market's failure domains. Control thread only.
  void ApplyFleet(const FleetSnapshot& aFleet);

  /// Sets the number of daemons that share the traffic, this one included.
  void SetLiveDaemons(int aCount);

  Router router;
  Admission admission;
  RetryBudget retryBudget;
  PoisonRequestFilter poison;
  PoisonRequestFilter poisonParts; ///< The same for parts of prompts.
  EndpointLimits endpointLimits;
  BrittleServices brittle;
  EndpointNotices notices;
  PlaceRegistry places;       ///< Requests in flight, for the owners of brittle endpoints.
  QueuePoolsStore queuePools; ///< Endpoints of the services whose requests are queued.
  SlotRegistry slots;         ///< Queued requests in flight, for the owners of the pools.

private:
  const std::string name;
  MarketSettings settings;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards `configuration`.
  ConfigurationPtr configuration;
  std::atomic<bool> knownUnconfigured{ false };
};

using MarketPtr = std::shared_ptr<Market>;

/// All markets by name. The control thread adds markets, any thread reads.
class MarketDirectory
{
public:
  MarketDirectory(const MarketSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// Returns the market of that name; creates it if it does not exist.
  MarketPtr FindOrAdd(const std::string& aName);

  /// The market of that name, or null.
  [[nodiscard]] MarketPtr Find(std::string_view aName) const;

  /// All markets that have a configuration in force.
  [[nodiscard]] std::vector<MarketPtr> ConfiguredMarkets() const;

private:
  MarketSettings settings;
  const Clock& clock;
  std::uint64_t seed;
  mutable std::mutex mutex; ///< Guards `markets`.
  std::map<std::string, MarketPtr, std::less<>> markets;
};

} // namespace lagoonward
