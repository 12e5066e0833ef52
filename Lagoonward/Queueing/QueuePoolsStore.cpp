#include "Lagoonward/Queueing/QueuePoolsStore.h"

#include <utility>

namespace lagoonward {

void
QueuePoolsStore::Publish(QueuePoolsPtr aPools)
{
  const std::lock_guard lock(this->mutex);
  this->pools = std::move(aPools);
}

QueuePoolsPtr
QueuePoolsStore::Get() const
{
  const std::lock_guard lock(this->mutex);
  return this->pools;
}

} // namespace lagoonward
