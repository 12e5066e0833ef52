#include "Lagoonward/Attempts/Market.h"

#include <algorithm>

namespace lagoonward {

Market::Market(std::string aName, const MarketSettings& aSettings, const Clock& aClock,
               std::uint64_t aSeed)
  : router(aSettings.routing, aClock, aSeed)
  , admission(aSettings.admission, aClock, aSeed)
  , retryBudget(aSettings.retries, aClock)
  , poison(aSettings.poison, aClock)
  , poisonParts(aSettings.poisonParts, aClock)
  , endpointLimits(aSettings.endpointLimits, aClock)
  , brittle(aSettings.brittle, aClock)
  , notices(aSettings.notices, aClock)
  , places(aClock)
  , slots(aClock)
  , name(std::move(aName))
  , settings(aSettings)
  , clock(aClock)
{
}

ConfigurationPtr
Market::ConfigurationInForce() const
{
  const std::scoped_lock lock(this->mutex);
  return this->configuration;
}

void
Market::ApplyConfiguration(const ConfigurationPtr& aConfiguration)
{
  {
    const std::scoped_lock lock(this->mutex);
    if (this->configuration != nullptr && aConfiguration->offset <= this->configuration->offset) {
      return;
    }
    this->configuration = aConfiguration;
  }
  this->admission.Configure(aConfiguration->manifest);
}

void
Market::ApplyFleet(const FleetSnapshot& aFleet)
{
  const ConfigurationPtr inForce = this->ConfigurationInForce();
  if (inForce == nullptr) {
    return;
  }
  const auto& domains = inForce->manifest.failureDomains;
  FleetSnapshot marketFleet;
  marketFleet.generation = aFleet.generation;
  marketFleet.prices = aFleet.prices;
  for (const Endpoint& endpoint : aFleet.endpoints) {
    if (std::find(domains.begin(), domains.end(), endpoint.failureDomain) != domains.end()) {
      marketFleet.endpoints.push_back(endpoint);
    }
  }
  this->router.Update(
    RoutingTable::Build(marketFleet, inForce->manifest, this->clock, this->settings.table));
}

void
Market::SetLiveDaemons(int aCount)
{
  this->router.SetLiveDaemons(aCount);
  this->retryBudget.SetLiveDaemons(aCount);
}

MarketDirectory::MarketDirectory(const MarketSettings& aSettings, const Clock& aClock,
                                 std::uint64_t aSeed)
  : settings(aSettings)
  , clock(aClock)
  , seed(aSeed)
{
}

MarketPtr
MarketDirectory::FindOrAdd(const std::string& aName)
{
  const std::scoped_lock lock(this->mutex);
  MarketPtr& market = this->markets[aName];
  if (market == nullptr) {
    market = std::make_shared<Market>(aName, this->settings, this->clock, this->seed);
  }
  return market;
}

MarketPtr
MarketDirectory::Find(std::string_view aName) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->markets.find(aName);
  return found == this->markets.end() ? nullptr : found->second;
}

std::vector<MarketPtr>
MarketDirectory::ConfiguredMarkets() const
{
  const std::scoped_lock lock(this->mutex);
  std::vector<MarketPtr> inForce;
  for (const auto& [name, market] : this->markets) {
    if (market->ConfigurationInForce() != nullptr) {
      inForce.push_back(market);
    }
  }
  return inForce;
}

} // namespace lagoonward
