#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of placement.
struct PlacementSettings
{
  int modelsPerEndpoint = 3;            ///< Maximum loaded model versions, including old ones.
  int concurrentLoads = 4;              ///< Maximum; the weight store is rate-limited.
  int concurrentStarts = 3;             ///< Maximum number of hosts starting at once.
  Milliseconds orderTimeout{ 120'000 }; ///< An order without effect by then is repeated.
  Milliseconds startTimeout{ 300'000 }; ///< A started host that does not report by then has failed.
  Milliseconds refusedStartPause{ 120'000 }; ///< For an offer that refused a start.
  Milliseconds refusedLoadPause{ 60'000 };   ///< For an endpoint that refused a load.

  /// A new leader only observes for this long, until reports and the host list are up to date.
  Milliseconds settleTime{ 10'000 };

  /// A version that is no longer needed is unloaded from a busy endpoint only after this long.
  Milliseconds unloadDrain{ 600'000 };

  /// A host is stopped after it was idle and not needed for this long.
  Milliseconds idleStopDelay{ 900'000 };

  /// Another offer replaces the selected one only if it is cheaper by this fraction...
  double priceHysteresis = 0.15;

  /// ... for at least this long.
  Milliseconds priceSettle{ 600'000 };

  /// Relative surcharge on the price of a reclaimable host, scaled by the objective's weight of recomputed
  /// tokens; the expected cost of losing the host.
  double reclaimSurcharge = 0.2;
};

} // namespace lagoonward
