#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Settings of QueuePools.
struct QueuePoolSettings
{
  /// Slots that a pool should have: enough that a request rarely waits in one pool while another has room, few enough
  /// that a small host can own a pool. An endpoint with at least this many slots is a pool of its own.
  int slotsPerPool = 6;
};

/// Settings of SlotTable and EndpointPace.
struct SlotTableSettings
{
  double paceWeight = 0.2;    ///< Weight of the newest request in an endpoint's averaged pace.
  double failureWeight = 0.1; ///< Weight of the newest request in its averaged failure ratio.
  /// An endpoint counts as slow if the requests that it runs have taken this many times their expected time on average.
  double overdueFactor = 1.5;
  /// Relative increase of the expected time at an endpoint whose slots are all taken.
  double occupancyPenalty = 0.5;
  /// Consecutive failures after which an endpoint gets single requests as trials until one succeeds.
  int failuresToPause = 3;
  Milliseconds failurePause{ 1000 }; ///< Between two of these trials.
  /// After a rejection an endpoint gets no more than it had, and one slot more each time this has passed.
  Milliseconds recoveryInterval{ 500 };
  /// How long the slot of an abandoned request stays taken, as the endpoint may not notice at once.
  Milliseconds abandonedTime{ 500 };
  Milliseconds maximumLease{ 120'000 };        ///< Longest time for which a slot is taken.
  std::size_t maximumLeasesPerEndpoint = 4096; ///< Beyond, none is recorded.
  double assumedSeconds = 0.05; ///< Expected time of a unit of work while nothing has been learned.
};

/// Settings of RequestQueue.
struct RequestQueueSettings
{
  SlotTableSettings slots;

  /// A queue that has not been empty for this long is a standing queue: no short burst explains it, so requests are only
  /// queued if they can still meet their target. Before, all that can meet their deadline are queued. It remains one until
  /// it is empty and none was refused just before, since refusing all of them empties it, too.
  Milliseconds standingAfter{ 2000 };

  /// Requests that wait within this time after another daemon has kept the queue make it a standing queue.
  Milliseconds takeoverPeriod{ 500 };

  /// Fraction of the expected time of a request that is kept for errors of the prediction, in a standing queue.
  double targetMargin = 0.5;

  /// Time over which the arriving work of more urgent requests is averaged.
  Milliseconds arrivalWindow{ 1000 };

  /// Least fraction of the endpoints' work that is expected to be left by more urgent requests.
  double minimumRemainingRate = 0.1;

  /// How long a slot is kept for a request that was granted one between two of its polls, and how long a request that
  /// does not poll keeps its turn.
  Milliseconds pollGrace{ 300 };

  std::size_t maximumWaiting = 1024;  ///< Further requests are refused.
  std::size_t maximumAccounts = 4096; ///< Client accounts whose turns are recorded.
  Milliseconds minimumRetryAfter{ 50 };
};

/// Settings of PoolLedger.
struct PoolLedgerSettings
{
  RequestQueueSettings queue;
  /// A backup owner that gets a request for a pool after this long without one takes the queue over.
  Milliseconds backupPause{ 1000 };
  /// Where there are too many pools, those without messages for this long are removed.
  Milliseconds idleTimeout{ 60'000 };
  std::size_t maximumPools = 4096; ///< Requests for further pools are answered NotOwner.
};

} // namespace lagoonward
