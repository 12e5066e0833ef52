#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Daemon/LeaderTaskService.h"
#include "Lagoonward/Relay/RelaySettings.h"
#include "Lagoonward/Settings/RelayDaemonSettings.h"
#include "Lagoonward/Wire/ConnectionTable.h"

namespace lagoonward {

/// Settings of a relay daemon's market: routing, admission and retries on the users' platform.
[[nodiscard]] MarketSettings
MarketSettingsOf(const RelayDaemonSettings& aSettings);

/// Settings of a relay daemon's requests.
[[nodiscard]] RelaySettings
RelaySettingsOf(const RelayDaemonSettings& aSettings);

/// How many connections each server of a relay daemon accepts. What is left of the descriptors is for connections to
/// endpoints, the store and other daemons, and for files.
struct ConnectionLimits
{
  unsigned callers = 0;
  unsigned forwarded = 0; ///< Connections of daemons that forward requests.
  unsigned probes = 0;    ///< Each of the servers for readiness and for metrics.
  std::size_t peers = 0;
};

/// @param aProcessDescriptors  most descriptors that the system lets this process open
[[nodiscard]] ConnectionLimits
ConnectionLimitsOf(const RelayDaemonSettings& aSettings, std::size_t aProcessDescriptors);

/// Settings of the table of all these connections.
[[nodiscard]] ConnectionTableSettings
ConnectionTableSettingsOf(const RelayDaemonSettings& aSettings);

/// Settings of a relay daemon's leader tasks: lease, reports, and quiet time after a change of leader.
[[nodiscard]] LeaderTaskSettings
LeaderTaskSettingsOf(const RelayDaemonSettings& aSettings);

} // namespace lagoonward
