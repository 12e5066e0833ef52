#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"

#include <mutex>

namespace lagoonward {

/// The deployment's budget of retries, moves excepted, as one daemon sees it: a token bucket filled by successes.
/// Each daemon earns from its own successes and holds an equal part of the rest, so that all
/// daemons together stay within the deployment's budget without talking. Thread-safe.
class RetryBudget
{
public:
  RetryBudget(const RetryBudgetSettings& aSettings, const Clock& aClock);

  /// How many daemons share the budget, this one included.
  void SetLiveDaemons(int aCount);

  /// A request was answered whole.
  void OnSuccess();

  /// Takes one retry out of the budget.
  /// @return false when there is none: answer RetryBudgetExhausted instead of trying again
  [[nodiscard]] bool TryTake();

private:
  [[nodiscard]] double Capacity() const;
  void Earn(double aRetries);

  RetryBudgetSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  int liveDaemons = 1;
  double retries; ///< Available now.
  TimePoint filledAt;
};

} // namespace lagoonward
