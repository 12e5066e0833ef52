#pragma once

#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <mutex>

namespace lagoonward {

/// Holds the current fleet snapshot. The control thread publishes it, any thread can read it.
class FleetStore
{
public:
  /// Starts with an empty snapshot.
  FleetStore();

  void Publish(FleetSnapshotPtr aSnapshot);

  /// The latest snapshot; never null.
  [[nodiscard]] FleetSnapshotPtr Get() const;

private:
  mutable std::mutex mutex; ///< Guards `snapshot`.
  FleetSnapshotPtr snapshot;
};

} // namespace lagoonward
