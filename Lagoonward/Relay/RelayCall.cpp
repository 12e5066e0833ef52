#include "Lagoonward/Relay/RelayCall.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>
#include <span>

namespace lagoonward {

TimePoint
RelayCall::EffectiveDeadline() const
{
  const bool isBounded = this->route->timeout > Milliseconds::zero();
  return isBounded ? std::min(this->deadline, this->receivedAt + this->route->timeout)
                   : this->deadline;
}

bool
RelayCall::IsContinuation() const
{
  return this->route->kind == RelayKind::Stream && !this->lastEventId.empty();
}

std::uint64_t
ComputeFingerprint(const RelayCall& aCall)
{
  const std::uint64_t targetHash = HashBytes(aCall.target, HashBytes(aCall.method));
  return HashBytes(aCall.body, HashBytes(aCall.account, targetHash));
}

std::vector<std::uint64_t>
ComputeSharedPartKeys(const RelayCall& aCall)
{
  const std::size_t count = aCall.promptParts.empty() ? 0 : aCall.promptParts.size() - 1;
  const std::uint64_t service = HashBytes(aCall.service);
  std::vector<std::uint64_t> keys;
  for (const PromptPart& part : std::span(aCall.promptParts).first(count)) {
    const std::uint64_t key = CombineHashes(service, part.id);
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      keys.push_back(key);
    }
  }
  return keys;
}

} // namespace lagoonward
