#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of leadership per market and region. With these defaults the lease of one market and region costs one
/// append every three seconds, and a crashed holder is replaced within about fifteen seconds.
struct LeaseSettings
{
  /// Duration of a lease. Starts before the append for the holder, and at reading the record for other daemons.
  Milliseconds duration{ 10'000 };

  /// Time after the start of its lease at which the holder renews it.
  Milliseconds renewAfter{ 3'000 };

  /// Additional time that a successor waits after the lease. An order to an endpoint that does not check fencing
  /// numbers must arrive within this time after the holder checked its lease, so the timeout of such orders is shorter.
  Milliseconds handover{ 3'000 };

  /// Minimum interval between two appends while the first has not been read back from the log.
  Milliseconds retryInterval{ 1'000 };

  /// Additional wait per rank of a candidate, so that not all candidates append when a lease has expired.
  Milliseconds rankDelay{ 1'000 };

  /// Number of daemons, by rendezvous rank, that may acquire the lease. The others only read.
  int candidates = 4;
};

} // namespace lagoonward
