#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Tunables of reading the engines' loads.
struct LoadPollerSettings
{
  Milliseconds timeout{ 800 };            ///< Longest wait for one reading.
  std::size_t maximumBytes = 256U << 10U; ///< Largest reading.
};

/// Reads `GET /v1/load` of model engines, without blocking, on a traffic loop of its own.
class LoadPoller
{
public:
  using Done = std::function<void(Result<EndpointLoad> aLoad)>;

  LoadPoller(const LoadPollerSettings& aSettings, const Clock& aClock);

  /// Starts and ends the thread.
  void Start();
  void Stop();

  /// Reads one engine's load. Safe from any thread; aDone is called once, on this poller's thread,
  /// unless the poller is stopped first. Errors: EndpointFailed.
  void Poll(const HostEntry& aEndpoint, Done aDone);

  /// Decodes the body of `/v1/load`. Errors: EndpointFailed.
  [[nodiscard]] static Result<EndpointLoad> Decode(std::string_view aBody);

private:
  class Reading;

  LoadPollerSettings settings;
  TrafficLoop loop;
};

} // namespace lagoonward
