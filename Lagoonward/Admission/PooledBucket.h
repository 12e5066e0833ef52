#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>

namespace lagoonward {

/// One client's limit over the whole deployment.
struct PooledLimit
{
  double rate = 0;     ///< Tokens per second.
  double capacity = 0; ///< Tokens at once.
  /// Tokens by which all daemons together may exceed the capacity while they do not know of each other.
  double slack = 0;
};

/// Tunables of pooled buckets.
struct PooledBucketSettings
{
  Milliseconds silence{ 1600 }; ///< A peer not heard of for so long may be cut off: three messages.
  Milliseconds memory{ 20'000 }; ///< After this a silent peer counts as gone.
  double firstFill = 0.25;       ///< Of a bucket whose past is not known.
};

/// One client's token bucket, kept by every daemon for the whole deployment. Daemons tell each other at
/// an interval how many tokens they have admitted in all; between two messages a peer is assumed to go
/// on as before, up to an equal part of the rate, and a silent one to use an equal part of the rate, so that daemons cut off from each
/// other stay within the limit together.
///
/// Error bound: below half of the bucket the daemons admit at most what is left + slack in one interval, as
/// each may take an equal part of (1 + slack / capacity) times what is left. Above it, a daemon whose clients
/// clump may take half of what is left; all daemons together then admit at most what is asked of them in one
/// interval. The excess shows at the next message and is paid off before more is admitted. Not thread-safe.
class PooledBucket
{
public:
  PooledBucket(const PooledBucketSettings& aSettings, TimePoint aNow);

  /// Sets the limit. A lower one takes effect at once.
  void Configure(const PooledLimit& aLimit, TimePoint aNow);

  /// Takes tokens.
  /// @return zero when they were taken, else the seconds after which they may be
  [[nodiscard]] double Take(double aTokens, TimePoint aNow);

  /// A new interval begins: the peers are about to be told AdmittedTotal().
  /// @param aDaemons  how many share the limit, this one included
  void OnInterval(int aDaemons, TimePoint aNow);

  /// A peer has told its total.
  void OnPeer(std::uint64_t aPeer, double aTotal, TimePoint aNow);

  [[nodiscard]] double AdmittedTotal() const { return this->total; }

  /// Tokens left in the whole deployment as far as is known; negative while an excess is paid off.
  [[nodiscard]] double Level() const { return this->level; }

private:
  struct Peer
  {
    TimePoint heard;
    double total = 0;
    double rate = 0;    ///< Tokens per second between its last two messages.
    double assumed = 0; ///< Charged since its last message.
  };

  void Advance(TimePoint aNow);
  [[nodiscard]] double AssumedRate(const Peer& aPeer, TimePoint aNow) const;

  PooledBucketSettings settings;
  PooledLimit limit;
  bool configured = false;
  int daemons = 1;
  double level = 0;
  double total = 0;     ///< Admitted here since the start.
  double allowance = 0; ///< For this interval.
  double takenNow = 0;  ///< In this interval.
  TimePoint advancedAt;
  std::map<std::uint64_t, Peer> peers;
};

} // namespace lagoonward
