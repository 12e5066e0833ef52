#include "Lagoonward/Daemon/EndpointNewsSettings.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// For news to pass through two daemons, some milliseconds each, beside other work of a small host.
constexpr Milliseconds kOnTheWay{ 100 };

} // namespace

EndpointNewsSettings
EndpointNewsSettingsFor(Milliseconds aLeavingNotice)
{
  EndpointNewsSettings settings;
  settings.readerPace = std::clamp(aLeavingNotice / 5, Milliseconds(50), Milliseconds(1000));
  settings.readerSilence = 2 * settings.readerPace + kOnTheWay;
  settings.silenceStep = std::min(aLeavingNotice / 14, Milliseconds(400));
  settings.ownPaceLimit = settings.readerSilence;
  settings.lateAfter = aLeavingNotice * 3 / 4;
  settings.repeat = settings.readerSilence + 2 * settings.silenceStep + 2 * settings.readerPace;
  return settings;
}

} // namespace lagoonward
