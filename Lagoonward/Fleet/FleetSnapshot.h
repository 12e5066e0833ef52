#pragma once

#include "Lagoonward/Fleet/Endpoint.h"

#include <memory>
#include <string_view>
#include <vector>

namespace lagoonward {

/// The price of a host class at the cloud provider.
struct Price
{
  std::string machineClass;
  std::string failureDomain;
  bool reclaimable = true;
  double perHour = 0;
};

/// Immutable snapshot of all endpoints. The control thread builds and publishes a new one for each change;
/// traffic threads only read it.
struct FleetSnapshot
{
  std::uint64_t generation = 0; ///< Increases by one with each published snapshot.
  std::vector<Endpoint> endpoints;
  std::vector<Price> prices;

  /// The endpoint with the id, or nullptr. Linear search; not for hot paths.
  [[nodiscard]] const Endpoint* Find(std::string_view aId) const;
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

} // namespace lagoonward
