#pragma once

#include "Lagoonward/Providers/Backoff.h"

namespace lagoonward {

/// Settings of the readers of the configuration streams.
struct ConfigurationFollowerSettings
{
  Milliseconds pollWait{ 20'000 }; ///< Longest wait of one long poll for the next record.
  Milliseconds idlePause{ 50 };    ///< After an empty read, if the log does not support long polls.
  int pageLimit = 8;               ///< Most records per read; each may contain a manifest.
  BackoffSettings backoff;         ///< Between reads while the log is unavailable.
  Milliseconds peerInterval{ 1000 }; ///< Least time between two rounds of peer queries.

  /// Age at which the newest checkpoint is written again. The log's retention must be at least three times this.
  Milliseconds checkpointInterval{ 300'000 };

  /// Additional delay per rank before a daemon writes the checkpoint, so that the daemon ranked before it goes first.
  Milliseconds checkpointGrace{ 10'000 };

  std::size_t maxMarkets = 32; ///< Follow() returns an error beyond this.
};

} // namespace lagoonward
