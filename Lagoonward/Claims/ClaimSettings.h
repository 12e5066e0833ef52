#pragma once

#include "Lagoonward/Providers/Backoff.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of claims.
struct ClaimSettings
{
  /// How long a key stays held after its last claim. The log's retention must be longer.
  Milliseconds keyLifetime{ 6 * 3'600'000 };

  Milliseconds claimTimeout{ 1000 };  ///< A claim not decided within this time is refused.
  Milliseconds forwardTimeout{ 500 }; ///< For the first daemon; the second is asked afterwards.

  /// While a batcher loads its stream, claims queued longer than this are answered with Unreachable.
  Milliseconds coldLoadTimeout{ 200 };

  Milliseconds dispatchWindow{ 5000 }; ///< Maximum time from the claim's start to its dispatch.
  Milliseconds flushInterval{ 100 };   ///< Minimum time between two appends to one shard.
  Milliseconds idleWait{ 1000 };       ///< Maximum wait of an idle batcher.
  std::size_t maxClaimsPerRecord = 512;
  std::size_t maxQueuedClaims = 8192;    ///< Per shard; further ones are refused immediately.
  std::size_t maxQueuedOutcomes = 65536; ///< Per shard; further ones are dropped: "unknown".
  int pageLimit = 2048;                  ///< Maximum records in one read; halved while reads fail.
  int failuresUntilOutage = 3;           ///< Failed rounds after which waiting claims are refused.
  BackoffSettings backoff;               ///< Delay between failed rounds.
};

} // namespace lagoonward
