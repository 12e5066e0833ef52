#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Configuration/ConfigurationFollower.h"
#include "Lagoonward/Daemon/FleetManager.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Membership/MembershipService.h"
#include "Lagoonward/Settings/DaemonSettings.h"

#include <string>

namespace lagoonward {

/// Sources of the data of `/status`. All must outlive every call of MakeStatusPage().
struct StatusSources
{
  const DaemonSettings& settings;
  const Clock& clock;
  const ConfigurationFollower& follower;
  const MembershipService& membership;
  const FleetStore& fleet;
  const RunService& runs;
  const FleetManager& fleetManager;
};

/// The JSON text of `/status`; its fields are in docs/INTERFACES.md. Safe from any thread.
[[nodiscard]] std::string
MakeStatusPage(const StatusSources& aSources, bool aDraining);

} // namespace lagoonward
