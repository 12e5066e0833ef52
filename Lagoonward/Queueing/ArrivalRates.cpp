#include "Lagoonward/Queueing/ArrivalRates.h"

#include <cmath>

namespace lagoonward {

ArrivalRates::ArrivalRates(Milliseconds aWindow, const Clock& aClock)
  : window(aWindow)
  , clock(aClock)
{
}

double
ArrivalRates::WorkNow(const Rate& aRate) const
{
  return aRate.work * std::exp(-ToSeconds(this->clock.Now() - aRate.at) / ToSeconds(this->window));
}

void
ArrivalRates::OnArrived(int aPriority, double aWork)
{
  Rate& rate = this->rates[aPriority];
  rate.work = this->WorkNow(rate) + aWork;
  rate.at = this->clock.Now();
}

double
ArrivalRates::Above(int aPriority) const
{
  double work = 0;
  for (auto each = this->rates.upper_bound(aPriority); each != this->rates.end(); ++each) {
    work += this->WorkNow(each->second);
  }
  return work / ToSeconds(this->window);
}

} // namespace lagoonward
