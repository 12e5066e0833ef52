#include "Lagoonward/Membership/HostListPace.h"

#include <algorithm>

namespace lagoonward {

HostListPace::HostListPace(HostListSettings aSettings)
  : settings(aSettings)
{
}

bool
HostListPace::IsDue(TimePoint aNow, bool aIsReader) const
{
  const Milliseconds perHost =
    aIsReader ? this->settings.readerPerHost : this->settings.otherPerHost;
  const auto interval =
    std::max(this->settings.interval, perHost * static_cast<std::int64_t>(this->hosts));
  return !this->lastRead || aNow - *this->lastRead >= interval;
}

void
HostListPace::OnRead(TimePoint aNow, std::size_t aHosts)
{
  this->lastRead = aNow;
  this->hosts = aHosts;
}

} // namespace lagoonward
