#pragma once

#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <optional>

namespace lagoonward {

/// Local record of one endpoint of the region: its host entry, state and latest load.
struct EndpointFact
{
  HostEntry host;
  EndpointKey key = 0;
  EndpointState state = EndpointState::Live;
  std::uint32_t stateVersion = 0;
  std::optional<TimePoint> availableUntil; ///< End of the grace period of a leaving endpoint.
  std::optional<EndpointLoadUpdate>
    load;               ///< Latest load. Its `age` dates from arrival; use `observedAt`.
  TimePoint observedAt; ///< When the load was sampled, on this daemon's clock.
  std::optional<EndpointLoadUpdate>
    published;                   ///< The newest load that was published, or is queued for it.
  TimePoint publishedObservedAt; ///< When that load was sampled, on this daemon's clock.
  TimePoint publishQueuedAt;     ///< When that load was queued for publication.
  bool loadQueued = false;       ///< The load is queued for publication.
  bool stateQueued = false;      ///< The state is queued for publication.
};

/// Unit of EndpointLoadUpdate::age.
inline constexpr Milliseconds kLoadAgeUnit{ 10 };

/// Whether a load sample is newer by the endpoint's own clock. Compares 32-bit timestamps, which wrap around.
[[nodiscard]] bool
IsNewerSample(std::uint32_t aSampledAt, std::uint32_t aKnownSampledAt);

/// Converts an age to the unit of EndpointLoadUpdate::age, saturating.
[[nodiscard]] std::uint16_t
ToAgeUnits(std::chrono::nanoseconds aAge);

/// Converts a load sample to its compact wire form.
/// @param aAge      time since the sample was taken
/// @param aProfile  hash of the endpoint's profile
[[nodiscard]] EndpointLoadUpdate
ToEndpointLoadUpdate(EndpointKey aKey, const EndpointLoad& aLoad, std::chrono::nanoseconds aAge,
                     std::uint32_t aProfile);

/// Converts a load sample from its compact wire form to the form used by routing.
[[nodiscard]] EndpointLoad
ToEndpointLoad(const EndpointLoadUpdate& aFact, const EndpointProfile& aProfile, WallTime aAsOf);

/// Whether two load samples differ by more than the given fraction, or in their profile.
[[nodiscard]] bool
DiffersSignificantly(const EndpointLoadUpdate& aLeft, const EndpointLoadUpdate& aRight,
                     double aFraction);

/// Whether an update replaces the known state. `Leaving` is final; only the end of its grace period can still be added.
[[nodiscard]] bool
Supersedes(const EndpointStateUpdate& aUpdate, const EndpointFact& aKnown);

/// Whether the endpoint has its initial state: live, with no state update since it was listed.
[[nodiscard]] bool
IsInitialState(const EndpointFact& aFact);

/// Hash of a state, for digests. Equal on daemons that have the same state.
[[nodiscard]] std::uint64_t
StateHash(const EndpointFact& aFact);

} // namespace lagoonward
