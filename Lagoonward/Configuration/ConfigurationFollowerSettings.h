#pragma once

#include "Lagoonward/Providers/Backoff.h"

namespace lagoonward {

/// Tunables of following the configuration streams.
struct ConfigurationFollowerSettings
{
  Milliseconds pollWait{ 20'000 }; ///< How long the log may hold a read back for the next record.
  Milliseconds idlePause{ 50 }; ///< After a read without records, should the log not hold it back.
  int pageLimit = 8;            ///< Records in one read; each may hold a manifest.
  BackoffSettings backoff;      ///< Between reads while the log is away.
  Milliseconds peerInterval{ 1000 }; ///< Least time between two rounds of asking peers.

  /// Age at which the newest checkpoint is repeated. Retention must be at least three times this.
  Milliseconds checkpointInterval{ 300'000 };

  /// How long each daemon leaves the checkpoint to the one ranked before it.
  Milliseconds checkpointGrace{ 10'000 };

  std::size_t maxMarkets = 32; ///< Follow() refuses more.
};

} // namespace lagoonward
