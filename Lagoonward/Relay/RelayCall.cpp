#include "Lagoonward/Relay/RelayCall.h"

#include <algorithm>

namespace lagoonward {

TimePoint
RelayCall::EndsAt() const
{
  const bool isBounded = this->route->timeout > Milliseconds::zero();
  return isBounded ? std::min(this->deadline, this->receivedAt + this->route->timeout)
                   : this->deadline;
}

} // namespace lagoonward
