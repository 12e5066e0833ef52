#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"

#include <mutex>

namespace lagoonward {

/// One daemon's share of the deployment's budget of retries (moves are not counted): a token bucket refilled by
/// successful requests. Each daemon earns retries from its own successful requests and has an equal share of the rest,
/// so that all daemons together stay within the deployment's budget without exchanging messages. Thread-safe.
class RetryBudget
{
public:
  RetryBudget(const RetryBudgetSettings& aSettings, const Clock& aClock);

  /// Sets the number of daemons that share the budget, including this one.
  void SetLiveDaemons(int aCount);

  /// Handles a request that was answered completely.
  void OnSuccess();

  /// Consumes one retry of the budget.
  /// @return false if none is available: answer RetryBudgetExhausted instead of retrying
  [[nodiscard]] bool TryConsume();

private:
  [[nodiscard]] double Capacity() const;
  void AddRetries(double aRetries);

  RetryBudgetSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  int liveDaemons = 1;
  double retries; ///< Available now.
  TimePoint refilledAt;
};

} // namespace lagoonward
