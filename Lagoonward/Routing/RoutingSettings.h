#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Routing/SpeedEnvelope.h"

#include <cstddef>

namespace lagoonward {

/// Assumed speed of an engine until responses have been observed. A decode step with a batch of N sequences takes
/// `stepBaseSeconds + N * stepPerSequenceSeconds`.
struct SpeedPriors
{
  double prefillTokensPerSecond = 8000;
  /// Seconds that each running sequence adds to the prefill of a token.
  double prefillPerSequence = 0.000005;
  double stepBaseSeconds = 0.012;
  double stepPerSequenceSeconds = 0.0008;
  double sequences = 24;      ///< Sequences that an engine runs concurrently; more have to wait.
  double learningRate = 0.02; ///< Fraction of one observation's error that is corrected.
  /// Learned values stay within prior / maxPriorRatio and prior * maxPriorRatio.
  double maxPriorRatio = 8;
  double serviceCallSeconds = 0.02; ///< Duration of a plain service's call.

  /// For endpoints that do not report their load: the speed is learned from their fastest responses instead of from the
  /// error of each one.
  SpeedEnvelopeSettings envelope;
};

/// Limits and confidence values of PrefixIndex.
struct PrefixIndexSettings
{
  std::size_t blockTokens = 64; ///< Tokens per block.
  std::size_t capacity = 65536; ///< Blocks stored, 112 bytes each; the oldest are evicted first.
  Seconds maxAge{ 600 };        ///< An entry without an update for this long counts as evicted.
  Milliseconds usesHalfLife{ 20000 }; ///< Half-life of the use count of a prefix.
  /// Confidence in a block known only from a dispatch of this daemon.
  double dispatchedConfidence = 0.98;
  /// Factor on the confidence in entries older than a gap in the endpoint's events.
  double gapConfidence = 0.97;
};

/// Settings of CircuitBreaker.
struct CircuitBreakerSettings
{
  int failuresToOpen = 3; ///< Consecutive failures that open the breaker.
  /// Open duration before one trial request; doubles with each failed trial.
  Milliseconds openFor{ 2000 };
  Milliseconds maxOpenFor{ 60000 }; ///< Upper limit of the open duration.
};

/// All tunables of routing. Costs are in the currency of the hosts' prices.
struct RoutingSettings
{
  SpeedPriors speed;
  PrefixIndexSettings prefix;
  CircuitBreakerSettings breaker;

  /// Price assumed for a host whose price is not known.
  double fallbackPricePerHour = 1;

  /// Network round trip to an endpoint, added to every prediction.
  double networkSeconds = 0.003;

  /// Relative uncertainty of a prediction: the width of the logistic curve from a met to a missed target.
  double spread = 0.157;

  /// Relative increase of `spread` for each further daemon, as its dispatches are not known here. `spread` at most
  /// doubles.
  double peerSpread = 0.04;

  /// Cost of one missed target at the lowest priority, in seconds of engine time.
  double missEngineSeconds = 9;

  /// Cost of each further target duration by which the first token is late, in missed targets. Without it, a request
  /// that misses its target at every endpoint could be sent to the longest queue.
  double overdueWeight = 1;

  /// Factor on the cost of a missed target for each higher rank of priority.
  double missRankFactor = 6;

  /// Fraction of an engine's step base charged to a request that would run alone there. Zero ignores how full an engine
  /// is; values above one pack requests more densely than the price alone would.
  double packing = 3;

  /// Exponent with which that charge falls with the number of sequences at the endpoint.
  double packingPower = 1.7;

  /// Cost of a second of predicted response time, in engine seconds, even if no target is missed. Zero packs requests
  /// on the cheapest endpoints; larger values prefer the endpoints with the earliest response.
  double latencyWeight = 0;

  /// Whether a request above the lowest rank is assumed not to wait at an endpoint whose sequences are all in use.
  bool ranksPreempt = true;

  /// How long the in-flight counts reported by the other daemons are used.
  Milliseconds peerLoadRetention{ 2000 };

  /// Maximum relative increase of the latency cost by random noise, so that daemons with the same data do not all
  /// choose the same endpoint.
  double latencyNoise = 0.2;

  /// Later savings expected if a prefix that no endpoint has cached is sent to its home endpoint, as a multiple of the
  /// prompt's prefill cost.
  double homeAffinity = 4;

  /// Fraction of an engine's sequences not used for requests of the lowest rank.
  double reservedFraction = 0.35;

  /// Dispatches of this daemon per endpoint at which they get half the weight in the estimate of the other daemons'
  /// dispatches: the more of them a load report does not cover, the more the others are assumed to have dispatched
  /// alike.
  double peerPrior = 0.5;

  /// Reclaim rate of a reclaimable host, per hour.
  double reclaimsPerHour = 0.05;

  /// The same in a failure domain that has leaving hosts.
  double leavingDomainReclaimsPerHour = 120;

  /// Cost of a recomputed token, as a multiple of its prefill time, at an objective weight of 0.5.
  double recomputedTokenWeight = 40;

  /// Minimum number of cached tokens to fetch from another endpoint instead of prefilling them again.
  double minFetchedTokens = 1024;

  /// Maximum time of that fetch per token, as a fraction of the prefill time.
  double maxFetchTimeRatio = 0.6;

  /// Recent uses of a prefix, over all daemons, at which the cost of one more copy is halved.
  double hotPrefixUses = 6;

  /// Time over which a new endpoint's surcharge decreases to zero.
  Seconds slowStart{ 10 };

  /// Up to this number of endpoints, all are scored; above it, a sample.
  std::size_t fullScanLimit = 32;

  /// Endpoints chosen at random for the sample, half of them from the cheapest quarter.
  std::size_t sampleSize = 8;

  /// Minimum Retry-After of an error.
  Milliseconds retryAfterFloor{ 200 };
};

} // namespace lagoonward
