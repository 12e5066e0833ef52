#include "Lagoonward/Daemon/EndpointReplicatorSettings.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Time for an update to pass through two daemons: some milliseconds each, while a small host does other work.
constexpr Milliseconds kDisseminationDelay{ 100 };

/// An entry lapses after three heartbeats that did not come; the rest allows for heartbeats that come early.
constexpr double kHeartbeatsWithoutLapse = 2.7;

/// Checks within the time in which a leaving endpoint must be known, at least.
constexpr int kMinimumTicks = 10;

} // namespace

EndpointReplicatorSettings
EndpointReplicatorSettingsFor(Milliseconds aLeavingNotice, Milliseconds aHeartbeat)
{
  EndpointReplicatorSettings settings;
  settings.readerInterval = std::clamp(aLeavingNotice / 5, Milliseconds(50), Milliseconds(1000));
  settings.reader.readerStalenessLimit = 2 * settings.readerInterval + kDisseminationDelay;
  settings.reader.stalenessLimitStep = std::min(aLeavingNotice / 14, Milliseconds(400));
  settings.maximumDirectReadInterval = settings.reader.readerStalenessLimit;
  settings.staleAfter = aLeavingNotice * 3 / 4;
  settings.changeRetention = settings.reader.readerStalenessLimit +
                             2 * settings.reader.stalenessLimitStep + 2 * settings.readerInterval;
  settings.lapseTime = Scale(aHeartbeat, kHeartbeatsWithoutLapse);
  settings.directory.maximumHold = settings.staleAfter;
  settings.tickInterval = std::min(settings.tickInterval, aLeavingNotice / kMinimumTicks);
  settings.guard.maximumAge = settings.staleAfter;
  settings.guard.refreshTimeout = std::min(settings.guard.refreshTimeout, aLeavingNotice / 2);
  return settings;
}

} // namespace lagoonward
