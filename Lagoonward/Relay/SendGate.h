#pragma once

#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Admission/PlaceRegistry.h"
#include "Lagoonward/Fleet/FleetStore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Says to which endpoints this daemon must send nothing for now, whatever the reason: the snapshot of the endpoints, what
/// they have said of themselves in answers, the limits that they advertise, places that are taken. Every way to send a
/// request asks it twice: when an endpoint is selected, and right before the first byte, as a connection, a permit or a
/// place may have taken a while. Thread-safe.
class SendGate
{
public:
  /// References must outlive it.
  SendGate(const FleetStore& aFleet, EndpointLimits& aLimits, PlaceRegistry& aPlaces,
           EndpointNotices& aNotices);

  /// Endpoints of the service to which nothing may be sent now.
  [[nodiscard]] std::vector<std::string> BlockedEndpoints(std::string_view aService) const;

  /// Endpoints that are no destination of a moved stream, and whose free slots are no capacity: those that want no
  /// requests, and those that advertise a limit, as the limit may prevent the use of their slots.
  [[nodiscard]] std::vector<std::string> RestrictedEndpoints() const;

  /// Whether a request that was meant for an endpoint may still be sent to it.
  /// @param aKey  see EndpointKeyOf()
  [[nodiscard]] bool MaySendTo(std::string_view aEndpoint, std::uint64_t aKey) const;

  /// Whether a run may go on at an endpoint that has its state, also if the endpoint is leaving meanwhile: no other has it.
  /// Until when an endpoint may be reached is up to the caller.
  [[nodiscard]] bool MayContinueAt(std::string_view aEndpoint, std::uint64_t aKey) const;

  /// Time until the first live endpoint of the service may be sent requests again. Nothing if it is not known, and if one
  /// may be sent requests now.
  [[nodiscard]] std::optional<Milliseconds> UntilFirstUnblocked(std::string_view aService) const;

private:
  const FleetStore& fleet;
  EndpointLimits& limits;
  PlaceRegistry& places;
  EndpointNotices& notices;
};

} // namespace lagoonward
