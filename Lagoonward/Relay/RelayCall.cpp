#include "Lagoonward/Relay/RelayCall.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

TimePoint
RelayCall::EffectiveDeadline() const
{
  const bool isBounded = this->route->timeout > Milliseconds::zero();
  return isBounded ? std::min(this->deadline, this->receivedAt + this->route->timeout)
                   : this->deadline;
}

std::uint64_t
ComputeFingerprint(const RelayCall& aCall)
{
  const std::uint64_t targetHash = HashBytes(aCall.target, HashBytes(aCall.method));
  return HashBytes(aCall.body, HashBytes(aCall.account, targetHash));
}

} // namespace lagoonward
