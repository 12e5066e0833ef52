#include "Lagoonward/Relay/RelayRoutes.h"

#include <cassert>
#include <cmath>

namespace lagoonward {

const std::string&
RelayRoute::SelectService(std::uint64_t aRandom) const
{
  assert(!this->services.empty());
  double totalWeight = 0;
  for (const WeightedService& service : this->services) {
    totalWeight += service.weight;
  }
  double remainingWeight = std::ldexp(static_cast<double>(aRandom >> 11U), -53) * totalWeight;
  for (const WeightedService& service : this->services) {
    remainingWeight -= service.weight;
    if (remainingWeight < 0) {
      return service.name;
    }
  }
  return this->services.back().name;
}

RelayRoutes::RelayRoutes(std::int64_t aVersion)
  : version(aVersion)
{
}

void
RelayRoutes::AddRoute(RelayRoutePtr aRoute)
{
  if (aRoute->timeout > Milliseconds::zero()) {
    for (const WeightedService& service : aRoute->services) {
      this->servicesWithTimeout.insert(service.name);
    }
  }
  HostRoutes& hostRoutes = this->routes[aRoute->host];
  const std::string_view prefix = aRoute->prefix;
  hostRoutes.prefixLengths.insert(prefix.size());
  hostRoutes.byPrefix.emplace(prefix, std::move(aRoute));
}

void
RelayRoutes::AddAccount(RelayAccount aAccount, const std::vector<std::string>& aKeys)
{
  for (const std::string& key : aKeys) {
    this->accountByKey.emplace(key, this->accounts.size());
  }
  this->accounts.push_back(std::move(aAccount));
}

RelayRoutePtr
RelayRoutes::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto hostRoutes = this->routes.find(aHost);
  if (hostRoutes == this->routes.end()) {
    return nullptr;
  }
  for (const std::size_t length : hostRoutes->second.prefixLengths) {
    const auto found = length > aPath.size()
                         ? hostRoutes->second.byPrefix.end()
                         : hostRoutes->second.byPrefix.find(aPath.substr(0, length));
    if (found != hostRoutes->second.byPrefix.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const RelayAccount*
RelayRoutes::FindAccount(std::string_view aKey) const
{
  const auto found = this->accountByKey.find(std::string(aKey));
  return found == this->accountByKey.end() ? nullptr : &this->accounts[found->second];
}

} // namespace lagoonward
