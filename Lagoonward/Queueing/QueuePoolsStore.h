#pragma once

#include "Lagoonward/Queueing/QueuePools.h"

#include <mutex>

namespace lagoonward {

/// Holds the current division of endpoints into pools. The control thread publishes it, any thread can read it.
class QueuePoolsStore
{
public:
  void Publish(QueuePoolsPtr aPools);

  /// The latest division; never null.
  [[nodiscard]] QueuePoolsPtr Get() const;

private:
  mutable std::mutex mutex; ///< Guards `pools`.
  QueuePoolsPtr pools = std::make_shared<const QueuePools>();
};

} // namespace lagoonward
