#include "Lagoonward/Fleet/Endpoint.h"

#include "Lagoonward/Core/Hash.h"

namespace lagoonward {

std::uint64_t
EndpointKeyOf(const Endpoint& aEndpoint)
{
  const std::uint64_t key = HashBytes(aEndpoint.id);
  return aEndpoint.incarnation == 0
           ? key
           : CombineHashes(key, static_cast<std::uint64_t>(aEndpoint.incarnation));
}

} // namespace lagoonward
