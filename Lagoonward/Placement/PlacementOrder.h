#pragma once

#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <string>
#include <vector>

namespace lagoonward {

/// One step of a reconciliation. The same step has the same id, so that repeating it after a lost response has
/// no effect; it gets another id only after a full `orderTimeout` without effect.
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
  std::string adapter; ///< Empty if the order is for the model itself.
  std::string adapterVersion;
  HostRequest host;   ///< StartHost.
  std::string reason; ///< One sentence for the log.
};

/// "load", "unload", "start_host" or "stop_host".
[[nodiscard]] std::string_view
ToString(PlacementOrder::Kind aKind);

/// Number of endpoints that a model version needs for its load, if above the manifest's minimum.
struct ModelDemand
{
  std::string model;
  std::string version;
  int endpoints = 0;
};

/// The inputs of one reconciliation.
struct PlacementView
{
  const Manifest& manifest;
  Offset configurationOffset = kNoOffset;
  const FleetSnapshot& fleet;
  std::vector<ModelDemand> demand;

  /// Manifests of other markets of the region; models that they name are not unloaded.
  std::vector<const Manifest*> otherManifests;
};

} // namespace lagoonward
