#include "Lagoonward/Relay/RelayRoutes.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lagoonward {

const std::string&
RelayRoute::ServiceFor(std::uint64_t aDraw) const
{
  assert(!this->services.empty());
  double sum = 0;
  for (const WeightedService& service : this->services) {
    sum += service.weight;
  }
  double left = std::ldexp(static_cast<double>(aDraw >> 11U), -53) * sum;
  for (const WeightedService& service : this->services) {
    left -= service.weight;
    if (left < 0) {
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
RelayRoutes::AddRoute(RelayRoute aRoute)
{
  auto& ofHost = this->routes[aRoute.host];
  const auto place = std::find_if(ofHost.begin(), ofHost.end(), [&](const RelayRoutePtr& aOther) {
    return aOther->prefix.size() < aRoute.prefix.size();
  });
  ofHost.insert(place, std::make_shared<const RelayRoute>(std::move(aRoute)));
}

void
RelayRoutes::AddAccount(RelayAccount aAccount, const std::vector<std::string>& aKeys)
{
  for (const std::string& key : aKeys) {
    this->accountOfKey.emplace(key, this->accounts.size());
  }
  this->accounts.push_back(std::move(aAccount));
}

RelayRoutePtr
RelayRoutes::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto ofHost = this->routes.find(aHost);
  if (ofHost == this->routes.end()) {
    return nullptr;
  }
  const auto found =
    std::find_if(ofHost->second.begin(), ofHost->second.end(),
                 [&](const RelayRoutePtr& aRoute) { return aPath.starts_with(aRoute->prefix); });
  return found == ofHost->second.end() ? nullptr : *found;
}

const RelayAccount*
RelayRoutes::FindAccount(std::string_view aKey) const
{
  const auto found = this->accountOfKey.find(std::string(aKey));
  return found == this->accountOfKey.end() ? nullptr : &this->accounts[found->second];
}

} // namespace lagoonward
