#pragma once

#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <optional>

namespace lagoonward {

/// What this daemon knows of one endpoint of its region.
struct EndpointFact
{
  HostEntry host;
  EndpointKey key = 0;
  EndpointState state = EndpointState::Live;
  std::uint32_t stateVersion = 0;
  std::optional<TimePoint> goneAfter; ///< Last moment at which a leaving endpoint is promised.
  std::optional<LoadFact> load;       ///< `age` as of arrival; use `observedAt`.
  TimePoint observedAt;               ///< When the load was read, on this daemon's clock.
  std::optional<LoadFact> spread;     ///< The newest reading that was spread, or is to be.
  TimePoint spreadObservedAt;         ///< When that one was read, on this daemon's clock.
  TimePoint spreadAt;                 ///< When it was queued here.
  bool loadQueued = false;            ///< Waits to be passed on.
  bool stateQueued = false;           ///< Waits to be passed on.
};

/// Unit of LoadFact::age.
inline constexpr Milliseconds kAgeUnit{ 10 };

/// Whether a reading is newer on the endpoint's own clock, whose low bits wrap.
[[nodiscard]] bool
IsNewerReading(std::uint32_t aReading, std::uint32_t aKnown);

/// An age in the unit of LoadFact, saturating.
[[nodiscard]] std::uint16_t
ToAgeUnits(std::chrono::nanoseconds aAge);

/// The compact form of a reading.
/// @param aAge      time since the reading
/// @param aProfile  hash of the endpoint's profile
[[nodiscard]] LoadFact
ToLoadFact(EndpointKey aKey, const EndpointLoad& aLoad, std::chrono::nanoseconds aAge,
           std::uint32_t aProfile);

/// The form that routing uses.
[[nodiscard]] EndpointLoad
ToEndpointLoad(const LoadFact& aFact, const EndpointProfile& aProfile, WallTime aAsOf);

/// Whether two readings differ by more than a share, or in their profile.
[[nodiscard]] bool
DiffersMaterially(const LoadFact& aLeft, const LoadFact& aRight, double aShare);

/// Whether news replaces the state that is known. `Leaving` is final; all it can still gain is the
/// moment at which the endpoint goes.
[[nodiscard]] bool
Overrules(const StateFact& aNews, const EndpointFact& aKnown);

/// Whether nothing was ever reported: live since it was listed.
[[nodiscard]] bool
IsPlain(const EndpointFact& aFact);

/// Hash of a state, for digests. Equal on daemons that know the same.
[[nodiscard]] std::uint64_t
StateHash(const EndpointFact& aFact);

} // namespace lagoonward
