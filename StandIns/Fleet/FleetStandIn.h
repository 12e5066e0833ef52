#pragma once

#include "StandIns/Engine/EngineStandIn.h"
#include "StandIns/Platform/PlatformStandIn.h"
#include "StandIns/Service/ServiceStandIn.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// What a fleet consists of.
struct FleetSettings
{
  ListenAddress listen; ///< The platform's; endpoints take free ports at the same address.
  PlatformSettings platform;
  EngineSettings engine;   ///< Every engine is like this, but for id and failure domain.
  ServiceSettings service; ///< Every service is like this, but for id, name and failure domain.
  int engines = 4;         ///< Spread over the failure domains.
  int servicesPerName = 2; ///< Spread over the failure domains.
  std::vector<std::string> serviceNames{ "permits" };
  bool reclaimable = true; ///< Whether the engines are reclaimable hosts.
};

/// A platform with many engines and services in one process, all on the loopback. Hosts that the cloud
/// starts come up here too, and those that it reclaims vanish.
class FleetStandIn
{
public:
  FleetStandIn(const FleetSettings& aSettings, Scheduler& aScheduler);
  ~FleetStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->platform->Address(); }

  /// Addresses, counters of every engine and their sum, executions of all services; JSON text.
  [[nodiscard]] std::string Describe();

  /// Stops everything. Before the scheduler ends.
  void Stop();

private:
  /// Starts the host's program here. False where the kind has none.
  [[nodiscard]] bool Start(CloudHost& aHost);
  void Remove(const CloudHost& aHost);
  void StartInitial(const std::string& aKind, const std::string& aName, int aIndex);

  const FleetSettings settings;
  Scheduler& scheduler;
  ComputeLedger ledger;
  std::mutex mutex;
  std::vector<std::unique_ptr<EngineStandIn>> engines; ///< Vanished ones too, for their counters.
  std::vector<std::unique_ptr<ServiceStandIn>> services;
  std::unique_ptr<PlatformStandIn> platform;
};

} // namespace lagoonward::standins
