#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace lagoonward {

/// Settings of ConnectionReuse.
struct ConnectionReuseSettings
{
  /// How long an endpoint that has sent bytes of another response gets requests on connections of their own.
  Milliseconds suspendedFor{ 30'000 };
  /// Endpoints that are remembered; beyond, the one that is suspended for the shortest time is forgotten.
  std::size_t maximumEndpoints = 4096;
};

/// Remembers the endpoints that have recently sent bytes of one response where another was due. The response behind such
/// bytes is lost with its connection, so a request that may run once should not be sent to them on a connection that has
/// carried another one. Keys are those of EndpointKeyOf(). Not thread-safe: used on one TrafficLoop.
class ConnectionReuse
{
public:
  /// The clock must outlive it.
  ConnectionReuse(const ConnectionReuseSettings& aSettings, const Clock& aClock);

  /// The endpoint has sent bytes of another response.
  void Suspend(std::uint64_t aEndpoint);

  [[nodiscard]] bool IsSuspended(std::uint64_t aEndpoint) const;

private:
  void MakeRoom();

  ConnectionReuseSettings settings;
  const Clock& clock;
  std::unordered_map<std::uint64_t, TimePoint> suspendedUntil;
};

} // namespace lagoonward
