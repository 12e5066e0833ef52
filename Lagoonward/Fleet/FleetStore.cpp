#include "Lagoonward/Fleet/FleetStore.h"

namespace lagoonward {

FleetStore::FleetStore()
  : snapshot(std::make_shared<FleetSnapshot>())
{
}

void
FleetStore::Publish(FleetSnapshotPtr aSnapshot)
{
  const std::scoped_lock lock(this->mutex);
  this->snapshot = std::move(aSnapshot);
}

FleetSnapshotPtr
FleetStore::Get() const
{
  const std::scoped_lock lock(this->mutex);
  return this->snapshot;
}

} // namespace lagoonward
