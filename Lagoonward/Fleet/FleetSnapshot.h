#pragma once

#include "Lagoonward/Fleet/Endpoint.h"

#include <memory>
#include <string_view>
#include <vector>

namespace lagoonward {

/// A host price that the cloud offers.
struct Price
{
  std::string machineClass;
  std::string failureDomain;
  bool reclaimable = true;
  double perHour = 0;
};

/// Immutable picture of all endpoints. The control thread builds a new one for each change and
/// publishes it; traffic threads only read.
struct FleetSnapshot
{
  std::uint64_t generation = 0; ///< Grows by one with each published snapshot.
  std::vector<Endpoint> endpoints;
  std::vector<Price> prices;

  /// The endpoint of that id, or nullptr. Linear; not for hot paths.
  [[nodiscard]] const Endpoint* Find(std::string_view aId) const;
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

} // namespace lagoonward
