#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Daemon/ReaderRole.h"
#include "Lagoonward/Fleet/EndpointDirectory.h"
#include "Lagoonward/Fleet/SnapshotGuard.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of EndpointReplicator. The defaults are for a leaving endpoint that must be known within two seconds; see
/// EndpointReplicatorSettingsFor().
struct EndpointReplicatorSettings
{
  /// Between two reads of the primary reader. A reclaim may come with a second of notice, so half of that is the upper
  /// bound.
  Milliseconds readerInterval{ 400 };

  /// Between two direct reads of a daemon that receives updates. Missed updates show in the digest, so this only bounds
  /// how long a fault of the digest itself could last.
  Milliseconds listenerInterval{ 300'000 };

  ReaderRoleSettings reader;

  /// Between two direct reads of a daemon that receives no updates: this much for each daemon of the deployment, as all
  /// may be without a reader, but never more than maximumDirectReadInterval.
  Milliseconds directReadIntervalPerDaemon{ 30 };
  Milliseconds maximumDirectReadInterval{ 900 };

  /// How long changes are kept for daemons that have not acknowledged them, as messages may be lost and another daemon
  /// may take over from their sender: longer than the longest staleness limit.
  Milliseconds changeRetention{ 1'984 };

  /// A snapshot older than this is logged: a quarter of the time in which a leaving endpoint must be known is left.
  Milliseconds staleAfter{ 1'500 };

  /// A digest that differs for this long shows that an update was missed. Without a fault it can differ for some
  /// seconds, as daemons that saw an outage of the source hold back removals for up to that long.
  Milliseconds digestMismatchTolerance{ 6'000 };
  Milliseconds minimumRepairInterval{
    30'000
  }; ///< Between two reads that a digest mismatch causes.

  /// An entry that was renewed a shorter time ago than this has not lapsed.
  Milliseconds lapseTime{ 2'700 };

  EndpointDirectorySettings directory;
  SnapshotGuardSettings guard;

  Milliseconds timeout{ 800 };      ///< For one message.
  Milliseconds tickInterval{ 200 }; ///< Between two checks of the plan, the age and the directory.
  /// Bytes of records in one message. Less than what a daemon accepts, see PeerTransportSettings::maximumFrame.
  std::size_t maximumMessageBytes = 1'000'000;
  std::size_t maximumRetainedIds =
    4096; ///< Number of ids above which state of removed endpoints is dropped.
};

/// Intervals and staleness limits for endpoints whose leaving must be known on all daemons within a time. In the worst
/// case the primary reader dies right after a record was written; then a daemon that receives no updates finds it after
/// its staleness limit, at most readerStalenessLimit + 2 stalenessLimitStep: a little over half of that time, and a tenth
/// of a second. A removal that is held takes effect after three quarters of that time and one tick, from the earliest
/// time at which it can have been written.
/// @param aHeartbeat  interval at which endpoints renew their entries
[[nodiscard]] EndpointReplicatorSettings
EndpointReplicatorSettingsFor(Milliseconds aLeavingNotice, Milliseconds aHeartbeat);

} // namespace lagoonward
