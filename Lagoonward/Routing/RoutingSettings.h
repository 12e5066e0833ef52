#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Routing/SpeedEnvelope.h"

#include <cstddef>

namespace lagoonward {

/// What is assumed of an engine's speed until answers have been observed. A decode step of a batch of
/// N sequences takes `stepBase + N * stepPerSequence`.
struct SpeedPriors
{
  double prefillTokensPerSecond = 8000;
  double prefillPerSequence =
    0.000005; ///< Seconds that each running sequence adds to a prompt token.
  double stepBaseSeconds = 0.012;
  double stepPerSequenceSeconds = 0.0008;
  double sequences = 24;            ///< Sequences that an engine runs at once; more have to wait.
  double learningRate = 0.02;       ///< Share of one observation's error that is corrected.
  double maxPriorRatio = 8;                 ///< Learned values stay within prior / range and prior * range.
  double serviceCallSeconds = 0.02; ///< How long a plain service's call takes.

  /// Endpoints that tell no load are learned from the fastest of their answers instead of from each one's error.
  SpeedEnvelopeSettings envelope;
};

/// Bounds of what a daemon remembers of prefix caches.
struct PrefixIndexSettings
{
  std::size_t blockTokens = 64;       ///< Tokens that one block hash stands for.
  std::size_t capacity = 65536;       ///< Blocks remembered, 112 bytes each; the oldest go first.
  Seconds maxAge{ 600 };              ///< An entry not confirmed for so long counts as evicted.
  Milliseconds usesHalfLife{ 20000 }; ///< Half-life of the count of a prefix's uses.
  double dispatchedConfidence = 0.98; ///< Trust in a block known only from an own dispatch.
  double gapConfidence = 0.97; ///< Trust in entries older than a gap in the endpoint's events.
};

/// When an endpoint that fails is left alone.
struct CircuitBreakerSettings
{
  int failuresToOpen = 3;       ///< Failures in a row that open it.
  Milliseconds openFor{ 2000 }; ///< Pause before one trial request; doubles with each failed trial.
  Milliseconds maxOpenFor{ 60000 }; ///< Longest pause.
};

/// Everything tunable about routing. Money is in the currency of the hosts' prices.
struct RoutingSettings
{
  SpeedPriors speed;
  PrefixIndexSettings prefix;
  CircuitBreakerSettings breaker;

  /// Price of a host whose price is not known.
  double fallbackPricePerHour = 1;

  /// Time to an endpoint and back, added to every prediction.
  double networkSeconds = 0.003;

  /// Relative uncertainty of a prediction: the width of the curve from "met" to "missed".
  double spread = 0.157;

  /// How much wider that is for each further daemon, whose dispatches are not seen, up to twice.
  double peerSpread = 0.04;

  /// Worth of one missed target of the lowest priority, in engine time.
  double missEngineSeconds = 9;

  /// What each further target's length of waiting is worth, in missed targets. Without it a request
  /// that is late anyway would queue where the queue is longest.
  double lateness = 1;

  /// How much more a missed target of each higher rank of priority is worth.
  double missRankFactor = 6;

  /// How far an engine's step base is charged to the request that would be alone there. Zero ignores
  /// how full an engine is; above one, work is packed harder than its price alone would have it.
  double packing = 3;

  /// How fast that charge falls with the sequences that are there already.
  double packingPower = 1.7;

  /// Engine seconds that a second of predicted answer time is worth even where no target is missed. Zero
  /// packs requests where they are cheapest; above, they go where they are answered soonest.
  double latencyWorth = 0;

  /// Whether a request of a higher rank need not wait where all places are taken.
  bool ranksPreempt = true;

  /// How long what the other daemons told of their requests in flight is believed.
  Milliseconds peerLoadRetention{ 2000 };

  /// Part by which the price of answer time is varied at random, so that daemons that see the same do not all
  /// choose the same endpoint.
  double latencyNoise = 0.2;

  /// Part of a prompt's prefill that is expected to be saved later if a prefix that nobody has goes
  /// to its home.
  double homePull = 4;

  /// Share of an engine's sequences kept free of the lowest rank.
  double reservedShare = 0.35;

  /// How little own dispatches say about those of other daemons, in dispatches per endpoint: the more
  /// own dispatches a report has missed, the more the others are assumed to have done alike.
  double peerPrior = 0.5;

  /// Chance per hour that a reclaimable host goes.
  double reclaimsPerHour = 0.05;

  /// The same for a failure domain where hosts are leaving now.
  double goingDomainPerHour = 120;

  /// Worth of a recomputed token in the time of its prefill, where the objective's weight is 0.5.
  double recomputedTokenWorth = 40;

  /// Fewest tokens of a kept prompt that are worth fetching from another endpoint instead of reading them again...
  double minFetchedTokens = 1024;

  /// ...and the largest part of the reading's time that the fetching may take.
  double maxFetchTimeRatio = 0.6;

  /// Recent uses of a prefix, over all daemons, that halve the charge for one more copy.
  double hotUses = 6;

  /// A new endpoint's surcharge falls to nothing over this time.
  Seconds slowStart{ 10 };

  /// Up to so many endpoints all are scored; above, a sample.
  std::size_t fullScan = 32;

  /// Endpoints drawn at random for the sample, half of them from the cheapest quarter.
  std::size_t sample = 8;

  /// Shortest Retry-After that is given.
  Milliseconds retryAfterFloor{ 200 };
};

} // namespace lagoonward
