#pragma once

#include "Lagoonward/Admission/SharedTokenBucket.h"

#include <functional>

namespace lagoonward {

/// Requests tokens of a client's limit from the daemons that own its reserves.
class LimitTokenSource
{
public:
  virtual ~LimitTokenSource() = default;

  /// Requests tokens and passes the result to the market's admission.
  /// @param aSettled  called once, from any thread, when admission should be tried: a reserve has granted or refused,
  ///                  or none has replied in time
  virtual void RequestTokens(const LimitTokenRequest& aRequest, std::function<void()> aSettled) = 0;

  /// Charges tokens that have been used already to a reserve. Lost if no reserve replies; this daemon then owes them.
  virtual void ReportOverdraft(const LimitTokenRequest& aRequest) = 0;
};

} // namespace lagoonward
