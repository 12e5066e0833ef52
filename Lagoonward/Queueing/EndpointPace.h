#pragma once

#include "Lagoonward/Queueing/QueueSettings.h"

namespace lagoonward {

/// The speed of one endpoint, learned from the times that its requests take, and how often it fails. Not thread-safe.
class EndpointPace
{
public:
  explicit EndpointPace(const SlotTableSettings& aSettings);

  /// A request of that work has been answered completely.
  void OnCompleted(double aSeconds, double aWork);

  /// A request has been answered completely; how long it took is not known.
  void OnSucceeded();

  /// A request has failed. Its time says nothing about the endpoint's speed.
  void OnFailed();

  /// Averaged seconds that a unit of work takes; zero while nothing has been learned.
  [[nodiscard]] double SecondsPerWork() const { return this->secondsPerWork; }

  [[nodiscard]] double FailureRatio() const { return this->failureRatio; }
  [[nodiscard]] int ConsecutiveFailures() const { return this->consecutiveFailures; }

private:
  const SlotTableSettings* settings; ///< Outlives it.
  double secondsPerWork = 0;
  double failureRatio = 0;
  int consecutiveFailures = 0;
};

} // namespace lagoonward
