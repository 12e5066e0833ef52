#pragma once

#include "Lagoonward/Admission/PooledBucket.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace lagoonward::testing {

/// One client's limit at several daemons that lend to each other, as their messages would have it, but at once.
class SharedLimit
{
public:
  /// Whether one daemon's request for a loan reaches another one.
  using Reaches = std::function<bool(std::size_t aFrom, std::size_t aTo)>;

  /// The last daemon keeps the primary reserve, the one before it the backup.
  SharedLimit(std::size_t aDaemons, const PooledLimit& aLimit, TimePoint aNow)
    : buckets(aDaemons, PooledBucket({}, aNow))
  {
    for (PooledBucket& bucket : this->buckets) {
      bucket.Configure(aLimit, aNow);
    }
    if (aDaemons > 1) {
      this->reserves = { aDaemons - 1, aDaemons - 2 };
      this->buckets[this->reserves[0]].SetRole(ReserveRole::Primary, aNow);
      this->buckets[this->reserves[1]].SetRole(ReserveRole::Backup, aNow);
    }
  }

  /// One daemon is asked for tokens, and borrows where it holds too few.
  /// @return zero when they were taken, else the seconds after which they may be
  double Take(std::size_t aDaemon, double aTokens, TimePoint aNow)
  {
    PooledBucket& bucket = this->buckets[aDaemon];
    if (const auto wanted = bucket.WantedLoan(aTokens, aNow)) {
      this->Borrow(aDaemon, *wanted, aNow);
    }
    return bucket.Take(aTokens, aNow);
  }

  std::vector<PooledBucket> buckets;
  std::vector<std::size_t> reserves; ///< Daemons that keep one, the primary first.
  Reaches reaches = [](std::size_t, std::size_t) { return true; };

private:
  void Borrow(std::size_t aDaemon, const LoanRequest& aWanted, TimePoint aNow)
  {
    PooledBucket& bucket = this->buckets[aDaemon];
    bool isRefused = false;
    for (const std::size_t reserve : this->reserves) {
      if (reserve == aDaemon || !this->reaches(aDaemon, reserve)) {
        continue;
      }
      const Loan loan = this->buckets[reserve].Lend(aWanted, aNow);
      isRefused = isRefused || loan.wait > 0;
      if (loan.tokens > 0 || loan.wait > 0) {
        bucket.OnLoan(loan, aWanted.need, aNow);
      }
      if (loan.tokens > 0) {
        return;
      }
    }
    if (!isRefused) {
      bucket.OnLoanUnanswered(aNow);
    }
  }
};

} // namespace lagoonward::testing
