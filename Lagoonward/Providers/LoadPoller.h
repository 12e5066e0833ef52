#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Settings of a LoadPoller.
struct LoadPollerSettings
{
  Milliseconds timeout{ 800 };            ///< Timeout of one load request.
  std::size_t maximumBytes = 256U << 10U; ///< Maximum size of one response body.
};

/// Requests `GET /v1/load` from model engines asynchronously, on its own traffic loop.
class LoadPoller
{
public:
  using Done = std::function<void(Result<EndpointLoad> aLoad)>;

  LoadPoller(const LoadPollerSettings& aSettings, const Clock& aClock);

  /// Starts and stops the thread.
  void Start();
  void Stop();

  /// Requests one engine's load. Thread-safe. aDone is called once, on this poller's thread, unless the poller is
  /// stopped before. Errors: EndpointFailed.
  void Poll(const HostEntry& aEndpoint, Done aDone);

  /// Decodes the body of `/v1/load`. Errors: EndpointFailed.
  [[nodiscard]] static Result<EndpointLoad> Decode(std::string_view aBody);

private:
  class LoadRequest;

  LoadPollerSettings settings;
  TrafficLoop loop;
};

} // namespace lagoonward
