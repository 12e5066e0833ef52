#include "Lagoonward/Queueing/EndpointPace.h"

namespace lagoonward {

EndpointPace::EndpointPace(const SlotTableSettings& aSettings)
  : settings(&aSettings)
{
}

void
EndpointPace::OnCompleted(double aSeconds, double aWork)
{
  const double pace = aSeconds / aWork;
  this->secondsPerWork =
    this->secondsPerWork > 0
      ? this->secondsPerWork + this->settings->paceWeight * (pace - this->secondsPerWork)
      : pace;
  this->OnSucceeded();
}

void
EndpointPace::OnSucceeded()
{
  this->failureRatio -= this->settings->failureWeight * this->failureRatio;
  this->consecutiveFailures = 0;
}

void
EndpointPace::OnFailed()
{
  this->failureRatio += this->settings->failureWeight * (1 - this->failureRatio);
  ++this->consecutiveFailures;
}

} // namespace lagoonward
