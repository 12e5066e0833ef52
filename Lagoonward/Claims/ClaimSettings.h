#pragma once

#include "Lagoonward/Providers/Backoff.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of claims.
struct ClaimSettings
{
  /// How long a used key is remembered after its last use. The log's retention must be longer.
  Milliseconds keyLifetime{ 6 * 3'600'000 };

  Milliseconds claimTimeout{ 1000 };  ///< A claim that is not settled by then is refused.
  Milliseconds forwardTimeout{ 500 }; ///< For the first daemon asked, before the second is.
  Milliseconds coldPatience{ 200 };   ///< A batcher still reading its stream then passes claims on.
  Milliseconds dispatchWindow{ 5000 }; ///< From the claim's start to its dispatch, at most.
  Milliseconds flushInterval{ 100 };   ///< Least time between two appends to one shard.
  Milliseconds idleWait{ 1000 };       ///< Longest sleep of an idle batcher.
  std::size_t maxClaimsPerRecord = 512;
  std::size_t maxQueuedClaims = 8192;    ///< Per shard; more are refused at once.
  std::size_t maxQueuedOutcomes = 65536; ///< Per shard; more are dropped, and answered "unknown".
  int pageLimit = 2048;                  ///< Records in one read; halved while reads fail.
  int failuresUntilOutage = 3;           ///< Failed rounds after which waiting claims are refused.
  BackoffSettings backoff;               ///< Between failed rounds.
};

} // namespace lagoonward
