#include "Lagoonward/Fleet/LapseDetector.h"

#include <algorithm>

namespace lagoonward {

LapseDetector::LapseDetector(Milliseconds aLapseTime, Milliseconds aLongestPause)
  : lapseTime(aLapseTime)
  , longestPause(aLongestPause)
{
}

void
LapseDetector::OnRead(TimePoint aAsOf)
{
  if (this->IsPaused(aAsOf)) {
    this->renewedAt.clear();
  }
  this->previousRead = std::max(this->previousRead.value_or(aAsOf), aAsOf);
}

void
LapseDetector::OnOutage()
{
  this->previousRead.reset();
  this->renewedAt.clear();
}

void
LapseDetector::OnRenewed(const std::string& aId, TimePoint aNow)
{
  if (!this->IsPaused(aNow)) {
    this->renewedAt[aId] = *this->previousRead;
  }
}

bool
LapseDetector::MayHaveLapsed(const std::string& aId, TimePoint aNow) const
{
  const auto found = this->renewedAt.find(aId);
  return found == this->renewedAt.end() || this->IsPaused(aNow) ||
         this->IsPastLapse(found->second, aNow);
}

bool
LapseDetector::IsPaused(TimePoint aNow) const
{
  return !this->previousRead || aNow - *this->previousRead > this->longestPause;
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
