#pragma once

#include "Lagoonward/Admission/PooledBucket.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace lagoonward::testing {

/// One client's limit on several daemons that grant tokens to each other, with the same calls as through messages but
/// without delay.
class SharedLimit
{
public:
  /// Whether one daemon's token request reaches another daemon.
  using ReachabilityPredicate = std::function<bool(std::size_t aFrom, std::size_t aTo)>;

  /// The last daemon holds the primary reserve, the one before it the backup.
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

  /// Consumes tokens at one daemon, which first requests tokens from the reserves if it holds too few.
  /// @return zero if the tokens were consumed, otherwise the seconds after which to retry
  double Take(std::size_t aDaemon, double aTokens, TimePoint aNow)
  {
    PooledBucket& bucket = this->buckets[aDaemon];
    if (const auto request = bucket.WantedLoan(aTokens, aNow)) {
      this->RequestTokens(aDaemon, *request, aNow);
    }
    return bucket.Take(aTokens, aNow);
  }

  std::vector<PooledBucket> buckets;
  std::vector<std::size_t>
    reserves; ///< Indices of the daemons that hold a reserve, the primary first.
  ReachabilityPredicate reaches = [](std::size_t, std::size_t) { return true; };

private:
  void RequestTokens(std::size_t aDaemon, const LoanRequest& aRequest, TimePoint aNow)
  {
    PooledBucket& bucket = this->buckets[aDaemon];
    bool isRefused = false;
    for (const std::size_t reserve : this->reserves) {
      if (reserve == aDaemon || !this->reaches(aDaemon, reserve)) {
        continue;
      }
      const Loan grant = this->buckets[reserve].Lend(aRequest, aNow);
      isRefused = isRefused || grant.wait > 0;
      if (grant.tokens > 0 || grant.wait > 0) {
        bucket.OnLoan(grant, aRequest.need, aNow);
      }
      if (grant.tokens > 0) {
        return;
      }
    }
    if (!isRefused) {
      bucket.OnLoanUnanswered(aNow);
    }
  }
};

} // namespace lagoonward::testing
