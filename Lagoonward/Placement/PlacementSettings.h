#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of placement.
struct PlacementSettings
{
  int modelsPerEndpoint = 3; ///< Model versions that an endpoint holds at once, old ones included.
  int concurrentLoads = 4;   ///< Loads under way at once; the weight store is rate-limited.
  int concurrentStarts = 3;  ///< Hosts being started at once.
  Milliseconds orderTimeout{ 120'000 }; ///< An order not seen done after this is given again.
  Milliseconds startTimeout{ 300'000 }; ///< A started host not listed after this counts as gone.
  Milliseconds refusedPause{ 120'000 }; ///< An offer that refused a start is left alone this long.
  Milliseconds refusedLoadPause{ 60'000 }; ///< The same for an endpoint that refused a load.

  /// After taking the lead: only watches, so that reports and the host list catch up first.
  Milliseconds settle{ 10'000 };

  /// A version that is no longer wanted is unloaded from a busy endpoint only after this long.
  Milliseconds unloadDrain{ 600'000 };

  /// A host that nothing needs is stopped after it was idle and spare for this long.
  Milliseconds stopAfter{ 900'000 };

  /// Another offer is preferred to the one chosen last only if it is cheaper by this share...
  double priceHysteresis = 0.15;

  /// ... for at least this long.
  Milliseconds priceSettle{ 600'000 };

  /// A reclaimable host's price counts so much more, at a full weight on recomputed tokens: the
  /// expected cost of losing it.
  double reclaimSurcharge = 0.2;
};

} // namespace lagoonward
