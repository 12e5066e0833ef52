#pragma once

#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <string>
#include <vector>

namespace lagoonward {

/// One step towards the manifest. The same step has the same id, so that giving it again after a lost
/// answer changes nothing; only after a whole `orderTimeout` without effect it gets another one.
struct PlacementOrder
{
  enum class Kind
  {
    Load,
    Unload,
    StartHost,
    StopHost,
  };

  Kind kind = Kind::Load;
  std::string id;       ///< Order id for engines, client token for the cloud.
  std::string endpoint; ///< Load, Unload, StopHost.
  std::string model;
  std::string version;
  std::string adapter; ///< Empty: the model itself.
  std::string adapterVersion;
  HostRequest host;   ///< StartHost.
  std::string reason; ///< One sentence for the log.
};

/// "load", "unload", "start_host" or "stop_host".
[[nodiscard]] std::string_view
ToString(PlacementOrder::Kind aKind);

/// Endpoints that a model version needs beyond the manifest's minimum, because of load.
struct ModelDemand
{
  std::string model;
  std::string version;
  int endpoints = 0;
};

/// Everything that one reconciliation looks at.
struct PlacementView
{
  const Manifest& manifest;
  Offset configurationOffset = kNoOffset;
  const FleetSnapshot& fleet;
  std::vector<ModelDemand> demand;

  /// Manifests of other markets of the region: what they name is left alone.
  std::vector<const Manifest*> others;
};

} // namespace lagoonward
