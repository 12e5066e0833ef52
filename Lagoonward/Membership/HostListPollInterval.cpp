#include "Lagoonward/Membership/HostListPollInterval.h"

#include <algorithm>

namespace lagoonward {

HostListPollInterval::HostListPollInterval(HostListSettings aSettings)
  : settings(aSettings)
{
}

bool
HostListPollInterval::IsDue(TimePoint aNow, bool aIsReader) const
{
  const Milliseconds intervalPerHost =
    aIsReader ? this->settings.readerIntervalPerHost : this->settings.followerIntervalPerHost;
  const auto interval =
    std::max(this->settings.interval, intervalPerHost * static_cast<std::int64_t>(this->hostCount));
  return !this->lastRead || aNow - *this->lastRead >= interval;
}

void
HostListPollInterval::OnRead(TimePoint aNow, std::size_t aHostCount)
{
  this->lastRead = aNow;
  this->hostCount = aHostCount;
}

} // namespace lagoonward
