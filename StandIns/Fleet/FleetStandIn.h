#pragma once

#include "StandIns/Engine/EngineStandIn.h"
#include "StandIns/Platform/PlatformStandIn.h"
#include "StandIns/Service/ServiceStandIn.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Settings of a fleet.
struct FleetSettings
{
  ListenAddress listen; ///< The platform's; endpoints use free ports of the same address.
  PlatformSettings platform;
  EngineSettings engine;   ///< Template of the engines; id and failure domain differ.
  ServiceSettings service; ///< Template of the services; id, name and failure domain differ.
  int engines = 4;         ///< Distributed over the failure domains.
  int servicesPerName = 2; ///< Distributed over the failure domains.
  std::vector<std::string> serviceNames{ "permits" };
  bool reclaimable = true; ///< Whether the engines are reclaimable hosts.
};

/// A platform with engines and services in one process, all on the loopback address. Hosts that the
/// cloud interface starts or reclaims are started and terminated in this process as well.
class FleetStandIn
{
public:
  FleetStandIn(const FleetSettings& aSettings, Scheduler& aScheduler);
  ~FleetStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->platform->Address(); }

  /// JSON text with addresses, the counters of every engine and their sums, and the executions of all
  /// services.
  [[nodiscard]] std::string Describe();

  /// Stops the platform and all endpoints. Must be called before the scheduler is destroyed.
  void Stop();

private:
  /// Starts the host's stand-in in this process. Returns false if there is none for its kind.
  [[nodiscard]] bool Start(CloudHost& aHost);
  void Remove(const CloudHost& aHost);
  void StartInitial(const std::string& aKind, const std::string& aName, int aIndex);

  const FleetSettings settings;
  Scheduler& scheduler;
  ComputeLedger ledger;
  std::mutex mutex;
  /// Includes terminated engines, for their counters.
  std::vector<std::unique_ptr<EngineStandIn>> engines;
  std::vector<std::unique_ptr<ServiceStandIn>> services;
  std::unique_ptr<PlatformStandIn> platform;
};

} // namespace lagoonward::standins
