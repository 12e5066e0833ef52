#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <algorithm>

namespace lagoonward {

const Endpoint*
FleetSnapshot::Find(std::string_view aId) const
{
  const auto found = std::find_if(this->endpoints.begin(), this->endpoints.end(),
                                  [&](const Endpoint& aEndpoint) { return aEndpoint.id == aId; });
  return found == this->endpoints.end() ? nullptr : &*found;
}

} // namespace lagoonward
