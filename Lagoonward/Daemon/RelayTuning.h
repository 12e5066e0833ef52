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

/// Settings of the table of all accepted connections.
[[nodiscard]] ConnectionTableSettings
ConnectionTableSettingsOf(const RelayDaemonSettings& aSettings);

/// Settings of a relay daemon's leader tasks: lease, reports, and quiet time after a change of leader.
[[nodiscard]] LeaderTaskSettings
LeaderTaskSettingsOf(const RelayDaemonSettings& aSettings);

} // namespace lagoonward
