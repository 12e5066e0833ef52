#pragma once

#include "Lagoonward/Admission/SharedTokenBucket.h"

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
    : buckets(aDaemons, SharedTokenBucket({}, aNow))
  {
    for (SharedTokenBucket& bucket : this->buckets) {
      bucket.Configure(aLimit, aNow);
    }
    if (aDaemons > 1) {
      this->reserveDaemons = { aDaemons - 1, aDaemons - 2 };
      this->buckets[this->reserveDaemons[0]].SetReserveRole(ReserveRole::Primary, aNow);
      this->buckets[this->reserveDaemons[1]].SetReserveRole(ReserveRole::Backup, aNow);
    }
  }

  /// Consumes tokens at one daemon, which first requests tokens from the reserves if it holds too few.
  /// @return zero if the tokens were consumed, otherwise the seconds after which to retry
  double TryConsume(std::size_t aDaemon, double aTokens, TimePoint aNow,
                    LimitTokenUse aUse = LimitTokenUse::NewRequest)
  {
    SharedTokenBucket& bucket = this->buckets[aDaemon];
    if (const auto request = bucket.MakeTokenRequest(aTokens, aNow, aUse)) {
      this->RequestTokens(aDaemon, *request, aNow);
    }
    return bucket.TryConsume(aTokens, aNow, aUse);
  }

  /// Charges the tokens of a request that one daemon runs once more.
  void ChargeRepeat(std::size_t aDaemon, double aTokens, TimePoint aNow)
  {
    if (const auto overdraft = this->buckets[aDaemon].ChargeRepeat(aTokens, aNow)) {
      this->RequestTokens(aDaemon, *overdraft, aNow);
    }
  }

  std::vector<SharedTokenBucket> buckets;
  std::vector<std::size_t>
    reserveDaemons; ///< Indices of the daemons that hold a reserve, the primary first.
  ReachabilityPredicate canReach = [](std::size_t, std::size_t) { return true; };

private:
  void RequestTokens(std::size_t aDaemon, const LimitTokenRequest& aRequest, TimePoint aNow)
  {
    SharedTokenBucket& bucket = this->buckets[aDaemon];
    bool isRefused = false;
    for (const std::size_t reserve : this->reserveDaemons) {
      if (reserve == aDaemon || !this->canReach(aDaemon, reserve)) {
        continue;
      }
      const LimitTokenGrant grant = this->buckets[reserve].GrantTokens(aRequest, aNow);
      isRefused = isRefused || grant.retryAfterSeconds > 0;
      if (grant.tokens > 0 || grant.retryAfterSeconds > 0) {
        bucket.OnTokenGrant(grant, aRequest.neededTokens, aNow, aRequest.use);
      }
      if (grant.tokens > 0) {
        return;
      }
    }
    if (!isRefused) {
      bucket.OnTokenRequestTimeout(aNow);
    }
  }
};

} // namespace lagoonward::testing
