#include "Lagoonward/Queueing/QueuePools.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

namespace {

PoolEndpoint
MakePoolEndpoint(const Endpoint& aEndpoint)
{
  PoolEndpoint endpoint;
  endpoint.key = EndpointKeyOf(aEndpoint);
  endpoint.slots = std::max(aEndpoint.sequences, 1);
  endpoint.acceptsRequests = aEndpoint.state == EndpointState::Live;
  return endpoint;
}

/// The largest power of two that gives each pool `slotsPerPool` slots on average.
std::size_t
PoolCount(int aSlots, const QueuePoolSettings& aSettings)
{
  std::size_t count = 1;
  while (static_cast<int>(2 * count) * aSettings.slotsPerPool <= aSlots) {
    count *= 2;
  }
  return count;
}

/// The pool of an endpoint by rendezvous hashing.
std::size_t
PoolIndexOf(std::uint64_t aIdHash, std::size_t aCount)
{
  std::size_t best = 0;
  std::uint64_t highest = 0;
  for (std::size_t index = 0; index < aCount; ++index) {
    const std::uint64_t score = CombineHashes(aIdHash, index);
    if (index == 0 || score > highest) {
      best = index;
      highest = score;
    }
  }
  return best;
}

} // namespace

QueuePools::QueuePools(const FleetSnapshot& aFleet, const QueuePoolSettings& aSettings,
                       const std::function<bool(std::string_view aService)>& aIsQueued)
{
  std::map<std::string, std::vector<const Endpoint*>> endpoints;
  for (const Endpoint& endpoint : aFleet.endpoints) {
    if (aIsQueued(endpoint.name)) {
      endpoints[endpoint.name].push_back(&endpoint);
    }
  }
  for (const auto& [service, members] : endpoints) {
    this->AddService(service, members, aSettings);
  }
}

void
QueuePools::AddService(const std::string& aService, std::span<const Endpoint* const> aEndpoints,
                       const QueuePoolSettings& aSettings)
{
  int sharedSlots = 0;
  for (const Endpoint* each : aEndpoints) {
    const bool isAlone = each->sequences >= aSettings.slotsPerPool;
    sharedSlots += isAlone ? 0 : std::max(each->sequences, 1);
  }
  const std::size_t count = PoolCount(sharedSlots, aSettings);
  const std::uint64_t serviceHash = HashBytes(aService);
  std::map<std::uint64_t, QueuePool> divided;
  for (const Endpoint* each : aEndpoints) {
    const std::uint64_t idHash = HashBytes(each->id);
    const bool isAlone = each->sequences >= aSettings.slotsPerPool;
    const std::uint64_t key =
      CombineHashes(serviceHash, isAlone ? idHash : PoolIndexOf(idHash, count));
    const PoolEndpoint endpoint = MakePoolEndpoint(*each);
    QueuePool& pool = divided[key];
    pool.key = key;
    pool.slots += endpoint.acceptsRequests ? endpoint.slots : 0;
    pool.endpoints.push_back(endpoint);
    this->poolByEndpoint[endpoint.key] = key;
    this->idByEndpoint[endpoint.key] = each->id;
  }
  std::vector<QueuePool>& own = this->pools[aService];
  for (auto& [key, pool] : divided) {
    own.push_back(std::move(pool));
  }
  for (const QueuePool& pool : own) {
    this->poolByKey[pool.key] = &pool;
  }
}

std::span<const QueuePool>
QueuePools::PoolsOf(std::string_view aService) const
{
  const auto found = this->pools.find(aService);
  return found == this->pools.end() ? std::span<const QueuePool>()
                                    : std::span<const QueuePool>(found->second);
}

const QueuePool*
QueuePools::Find(std::uint64_t aPool) const
{
  const auto found = this->poolByKey.find(aPool);
  return found == this->poolByKey.end() ? nullptr : found->second;
}

std::string_view
QueuePools::ServiceOf(std::uint64_t aPool) const
{
  for (const auto& [service, own] : this->pools) {
    const bool isOwn = std::any_of(own.begin(), own.end(),
                                   [&](const QueuePool& aEach) { return aEach.key == aPool; });
    if (isOwn) {
      return service;
    }
  }
  return {};
}

std::uint64_t
QueuePools::PoolOf(std::uint64_t aEndpoint) const
{
  const auto found = this->poolByEndpoint.find(aEndpoint);
  return found == this->poolByEndpoint.end() ? 0 : found->second;
}

std::string_view
QueuePools::IdOf(std::uint64_t aEndpoint) const
{
  const auto found = this->idByEndpoint.find(aEndpoint);
  return found == this->idByEndpoint.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace lagoonward
