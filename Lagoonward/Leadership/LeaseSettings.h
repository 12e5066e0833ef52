#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of leadership per market and region. With these defaults one market and region costs one
/// append every three seconds, and a dead holder is succeeded within about fifteen.
struct LeaseSettings
{
  /// How long a lease runs, counted by its holder from before the append, by others from reading it.
  Milliseconds duration{ 10'000 };

  /// A holder renews after this much of its lease.
  Milliseconds renewAfter{ 3'000 };

  /// A successor waits this much longer than the lease. An order to an endpoint that does not check
  /// fencing numbers must arrive within it after the holder looked at its lease; the timeout of such
  /// orders stays below.
  Milliseconds handover{ 3'000 };

  /// Pause between two appends that were not seen in the log.
  Milliseconds retryInterval{ 1'000 };

  /// Each further candidate waits this much longer, so that a lapsed lease does not make all append.
  Milliseconds rankDelay{ 1'000 };

  /// Daemons by rendezvous rank that stand for election. The others only read.
  int candidates = 4;
};

} // namespace lagoonward
