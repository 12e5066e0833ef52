#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Daemon/DutyService.h"
#include "Lagoonward/Settings/RelayDaemonSettings.h"

namespace lagoonward {

/// How a relay daemon's market decides: routing, admission and retries on the users' platform.
[[nodiscard]] MarketSettings
MarketSettingsOf(const RelayDaemonSettings& aSettings);

/// How its duties are done: lease, reports, quiet time.
[[nodiscard]] DutySettings
DutySettingsOf(const RelayDaemonSettings& aSettings);

} // namespace lagoonward
