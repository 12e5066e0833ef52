#include "Lagoonward/Daemon/QueuedServices.h"

#include <algorithm>

namespace lagoonward {

bool
IsServiceQueued(RequestQueueing aQueueing, const RelayConfiguration& aConfiguration,
                std::string_view aService)
{
  if (aQueueing == RequestQueueing::Off || !aConfiguration.routes->HasTimeout(aService)) {
    return false;
  }
  const auto& services = aConfiguration.services;
  const auto service = std::find_if(services.begin(), services.end(),
                                    [&](const auto& aEach) { return aEach.name == aService; });
  const bool isEngine = service != services.end() && service->isEngine;
  return !isEngine || aQueueing == RequestQueueing::All;
}

} // namespace lagoonward
