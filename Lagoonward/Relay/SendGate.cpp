#include "Lagoonward/Relay/SendGate.h"

#include <algorithm>

namespace lagoonward {

SendGate::SendGate(const FleetStore& aFleet, EndpointLimits& aLimits, PlaceRegistry& aPlaces,
                   EndpointNotices& aNotices)
  : fleet(aFleet)
  , limits(aLimits)
  , places(aPlaces)
  , notices(aNotices)
{
}

std::vector<std::string>
SendGate::BlockedEndpoints(std::string_view aService) const
{
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  std::vector<std::string> blocked = this->notices.BlockedEndpoints(snapshot);
  for (const auto& more : { this->limits.BlockedEndpoints(), this->places.BlockedEndpoints() }) {
    blocked.insert(blocked.end(), more.begin(), more.end());
  }
  std::erase_if(blocked, [&](const std::string& aEach) {
    const Endpoint* endpoint = snapshot->Find(aEach);
    return endpoint == nullptr || endpoint->name != aService;
  });
  return blocked;
}

std::vector<std::string>
SendGate::RestrictedEndpoints() const
{
  std::vector<std::string> restricted = this->notices.BlockedEndpoints(this->fleet.Get());
  const std::vector<std::string> limited = this->limits.LimitedEndpoints();
  restricted.insert(restricted.end(), limited.begin(), limited.end());
  return restricted;
}

bool
SendGate::MaySendTo(std::string_view aEndpoint, std::uint64_t aKey) const
{
  const FleetSnapshotPtr newest = this->fleet.Get();
  const Endpoint* target = newest->Find(aEndpoint);
  return target != nullptr && target->state == EndpointState::Live &&
         this->notices.Find(aKey) == EndpointNotice::None;
}

bool
SendGate::MayContinueAt(std::string_view aEndpoint, std::uint64_t aKey) const
{
  const FleetSnapshotPtr newest = this->fleet.Get();
  const Endpoint* target = newest->Find(aEndpoint);
  return target != nullptr && target->state != EndpointState::Ejected &&
         this->notices.Find(aKey) != EndpointNotice::Backoff;
}

std::optional<Milliseconds>
SendGate::UntilFirstUnblocked(std::string_view aService) const
{
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  std::optional<Milliseconds> shortest;
  for (const Endpoint& endpoint : snapshot->endpoints) {
    if (endpoint.name != aService || endpoint.state != EndpointState::Live) {
      continue;
    }
    const auto limited = this->limits.UntilNextUnblocked({ &endpoint.id, 1 });
    const auto noticed = this->notices.UntilUnblocked(EndpointKeyOf(endpoint));
    if (!limited && !noticed) {
      return std::nullopt;
    }
    const Milliseconds both =
      std::max(limited.value_or(Milliseconds(0)), noticed.value_or(Milliseconds(0)));
    shortest = shortest ? std::min(*shortest, both) : both;
  }
  return shortest;
}

} // namespace lagoonward
