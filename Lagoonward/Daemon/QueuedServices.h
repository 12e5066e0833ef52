#pragma once

#include "Lagoonward/Relay/RelayConfiguration.h"
#include "Lagoonward/Settings/RelayDaemonSettings.h"

#include <string_view>

namespace lagoonward {

/// Whether the requests to a service wait for a free slot of an endpoint in a queue. Without a timeout of a route it is not
/// known how long its callers may be kept waiting.
[[nodiscard]] bool
IsServiceQueued(RequestQueueing aQueueing, const RelayConfiguration& aConfiguration,
                std::string_view aService);

} // namespace lagoonward
