#pragma once

#include "Lagoonward/Admission/PooledBucket.h"

#include <functional>

namespace lagoonward {

/// Borrows tokens of a client's limit from the daemons that keep its reserves.
class LimitLender
{
public:
  virtual ~LimitLender() = default;

  /// Asks for a loan, and hands what comes of it to the admission of the market.
  /// @param aSettled  called once, from any thread, when it is worth asking the admission: a reserve has lent or refused,
  ///                  or none has answered in time
  virtual void Borrow(const LoanRequest& aRequest, std::function<void()> aSettled) = 0;
};

} // namespace lagoonward
