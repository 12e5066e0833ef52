#include "Lagoonward/Relay/RelayCall.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

TimePoint
RelayCall::EndsAt() const
{
  const bool isBounded = this->route->timeout > Milliseconds::zero();
  return isBounded ? std::min(this->deadline, this->receivedAt + this->route->timeout)
                   : this->deadline;
}

std::uint64_t
PrintOf(const RelayCall& aCall)
{
  const std::uint64_t asked = HashBytes(aCall.target, HashBytes(aCall.method));
  return HashBytes(aCall.body, HashBytes(aCall.account, asked));
}

} // namespace lagoonward
