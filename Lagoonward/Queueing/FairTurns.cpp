#include "Lagoonward/Queueing/FairTurns.h"

#include <algorithm>

namespace lagoonward {

FairTurns::FairTurns(std::size_t aMaximumAccounts)
  : maximumAccounts(aMaximumAccounts)
{
}

double
FairTurns::OnArrived(std::uint64_t aAccount, double aWork, double aWeight)
{
  const auto known = this->finishTags.find(aAccount);
  const double tag = known == this->finishTags.end() ? this->virtualTime
                                                     : std::max(this->virtualTime, known->second);
  if (known == this->finishTags.end() && this->finishTags.size() >= this->maximumAccounts) {
    this->ForgetIdleAccounts();
  }
  if (known != this->finishTags.end() || this->finishTags.size() < this->maximumAccounts) {
    this->finishTags[aAccount] = tag + aWork / aWeight;
  }
  return tag;
}

void
FairTurns::OnServed(double aTag)
{
  this->virtualTime = std::max(this->virtualTime, aTag);
}

void
FairTurns::OnLeft(std::uint64_t aAccount, double aWork, double aWeight)
{
  const auto known = this->finishTags.find(aAccount);
  if (known != this->finishTags.end()) {
    known->second -= aWork / aWeight;
  }
}

void
FairTurns::ForgetIdleAccounts()
{
  // A tag that has been reached says the same as none
  std::erase_if(this->finishTags,
                [this](const auto& aEach) { return aEach.second <= this->virtualTime; });
}

} // namespace lagoonward
