#include "Lagoonward/Fleet/LapseDetector.h"

#include <algorithm>

namespace lagoonward {

LapseDetector::LapseDetector(Milliseconds aLapseTime)
  : lapseTime(aLapseTime)
{
}

void
LapseDetector::OnRenewed(const std::string& aId, TimePoint aNotBefore)
{
  if (aNotBefore == TimePoint::min()) {
    return;
  }
  TimePoint& known = this->renewedAt.try_emplace(aId, aNotBefore).first->second;
  known = std::max(known, aNotBefore);
}

bool
LapseDetector::MayHaveLapsed(const std::string& aId, TimePoint aNow) const
{
  const auto found = this->renewedAt.find(aId);
  return found == this->renewedAt.end() || this->IsPastLapse(found->second, aNow);
}

void
LapseDetector::Prune(TimePoint aNow)
{
  std::erase_if(this->renewedAt,
                [&](const auto& aEach) { return this->IsPastLapse(aEach.second, aNow); });
}

bool
LapseDetector::IsPastLapse(TimePoint aRenewedAt, TimePoint aNow) const
{
  return aNow - aRenewedAt >= this->lapseTime;
}

} // namespace lagoonward
