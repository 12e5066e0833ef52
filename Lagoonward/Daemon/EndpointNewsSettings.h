#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of endpoint news. The figures are for a leaving endpoint that must be known within two seconds; see
/// EndpointNewsSettingsFor().
struct EndpointNewsSettings
{
  /// Between two reads of the daemon that reads for all. A reclaim may come with a second of notice, so half of one is
  /// the most.
  Milliseconds readerPace{ 400 };

  /// Between two reads of a daemon that hears of reads. What it may have missed shows in the digest, so this only bounds
  /// how long a fault of the digest itself could last.
  Milliseconds listenerPace{ 300'000 };

  /// The next in line reads in the reader's place once its picture is so old: two messages missed.
  Milliseconds readerSilence{ 900 };

  /// Aggregators wait so much longer before they read by themselves, and all others twice that, so that the death of the
  /// reader does not make all read at once.
  Milliseconds silenceStep{ 142 };

  /// Between two reads of a daemon that has no reader: so much for each daemon, as all may be without, but
  /// never more than ownPaceLimit.
  Milliseconds ownPacePerDaemon{ 30 };
  Milliseconds ownPaceLimit{ 900 };

  /// Changes are kept so long for those who have not confirmed them, as messages may be lost and their sender succeeded:
  /// longer than the longest silence.
  Milliseconds repeat{ 1'984 };

  /// A picture older than this is written down: of the time in which a leaving must be known a quarter is left.
  Milliseconds lateAfter{ 1'500 };

  /// A digest that differs for so long shows that something was missed: removals are held back for up to some seconds
  /// where the source was away.
  Milliseconds repairAfter{ 6'000 };
  Milliseconds repairPause{ 30'000 }; ///< Between two reads for that reason.

  Milliseconds timeout{ 800 };   ///< For one message.
  Milliseconds tick{ 200 };      ///< Between two looks at what is due.
  std::size_t remembered = 4096; ///< Versions kept of endpoints that are gone.
};

/// Paces and silences for endpoints whose leaving must be known everywhere within a time. In the worst case the reader
/// dies right after a record came; then a daemon that nobody reads for finds it after readerSilence + 2 silenceStep:
/// a little over half of that time, and a tenth of a second.
[[nodiscard]] EndpointNewsSettings
EndpointNewsSettingsFor(Milliseconds aLeavingNotice);

} // namespace lagoonward
