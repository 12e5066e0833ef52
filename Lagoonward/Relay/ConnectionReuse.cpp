#include "Lagoonward/Relay/ConnectionReuse.h"

#include <algorithm>

namespace lagoonward {

ConnectionReuse::ConnectionReuse(const ConnectionReuseSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
ConnectionReuse::Suspend(std::uint64_t aEndpoint)
{
  if (!this->suspendedUntil.contains(aEndpoint)) {
    this->MakeRoom();
  }
  this->suspendedUntil[aEndpoint] = this->clock.Now() + this->settings.suspendedFor;
}

bool
ConnectionReuse::IsSuspended(std::uint64_t aEndpoint) const
{
  const auto found = this->suspendedUntil.find(aEndpoint);
  return found != this->suspendedUntil.end() && this->clock.Now() < found->second;
}

void
ConnectionReuse::MakeRoom()
{
  if (this->suspendedUntil.size() < this->settings.maximumEndpoints) {
    return;
  }
  const auto first = std::min_element(
    this->suspendedUntil.begin(), this->suspendedUntil.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; });
  this->suspendedUntil.erase(first);
}

} // namespace lagoonward
