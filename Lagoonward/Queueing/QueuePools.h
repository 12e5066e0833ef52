#pragma once

#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Queueing/QueueSettings.h"
#include "Lagoonward/Queueing/SlotTable.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Endpoints of one service whose slots are given out together, from one queue.
struct QueuePool
{
  std::uint64_t key = 0; ///< Identifies the pool at all daemons.
  std::vector<PoolEndpoint> endpoints;
  int slots = 0; ///< Of all its endpoints.
};

/// Divides the endpoints of the services whose requests are queued into pools. Every daemon computes the same division from the
/// same list of endpoints. The number of pools of a service is a power of two and endpoints are assigned by rendezvous hashing,
/// so an endpoint that comes or goes rarely moves another to another pool. Immutable.
class QueuePools
{
public:
  QueuePools() = default;
  QueuePools(const QueuePools&) = delete;
  QueuePools& operator=(const QueuePools&) = delete;

  /// @param aIsQueued  whether the requests of a service are queued
  QueuePools(const FleetSnapshot& aFleet, const QueuePoolSettings& aSettings,
             const std::function<bool(std::string_view aService)>& aIsQueued);

  /// The pools of a service; empty if its requests are not queued.
  [[nodiscard]] std::span<const QueuePool> PoolsOf(std::string_view aService) const;

  /// The pool with that key, or null.
  [[nodiscard]] const QueuePool* Find(std::uint64_t aPool) const;

  /// The service that a pool belongs to; empty if the pool is not known. For logs, as it searches all pools.
  [[nodiscard]] std::string_view ServiceOf(std::uint64_t aPool) const;

  /// Key of the pool that an endpoint belongs to; zero for none.
  [[nodiscard]] std::uint64_t PoolOf(std::uint64_t aEndpoint) const;

  /// Id of an endpoint with that key; empty if it is not known.
  [[nodiscard]] std::string_view IdOf(std::uint64_t aEndpoint) const;

private:
  void AddService(const std::string& aService, std::span<const Endpoint* const> aEndpoints,
                  const QueuePoolSettings& aSettings);

  std::map<std::string, std::vector<QueuePool>, std::less<>> pools; ///< By service.
  std::unordered_map<std::uint64_t, const QueuePool*> poolByKey;
  std::unordered_map<std::uint64_t, std::uint64_t> poolByEndpoint;
  std::unordered_map<std::uint64_t, std::string> idByEndpoint;
};

using QueuePoolsPtr = std::shared_ptr<const QueuePools>;

} // namespace lagoonward
