#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Tunables of how streams leave endpoints that are going away. Scores are in tokens: one unit is
/// one token computed again.
struct ReclaimSettings
{
  /// A stream has left its endpoint this long before the endpoint may vanish.
  Milliseconds safetyMargin{ 1'500 };

  /// Time that one export, import or new attempt takes besides moving bytes and prefilling.
  Milliseconds stepOverhead{ 60 };

  /// A stream finishes in place only if its expected rest, times this factor, still fits. The
  /// expectation is a guess; a stream that outlasts it is moved by a later plan.
  double finishFactor = 1.25;

  /// Plans are made anew this often while any endpoint is leaving, and at once on each new notice.
  Milliseconds replanInterval{ 500 };

  /// Tokens that a caller's second of silence weighs.
  double tokensPerGapSecond = 40;

  /// Tokens that a missed deadline weighs.
  double tokensPerMissedDeadline = 50'000;

  /// Tokens that a gigabyte on the network weighs, so that short prefixes are not exported.
  double tokensPerGigabyte = 10;

  /// Tokens that each stream already planned onto a target weighs against the next one.
  double tokensPerPlannedMove = 25;

  /// Streams that one plan sends to one target at most. Keeps a wave off a single endpoint.
  int maxMovesPerTarget = 12;

  /// Targets without a cached prefix that are weighed for one stream, drawn by rendezvous hash so
  /// that daemons which plan alone do not all pick the same one.
  int uncachedCandidates = 6;

  /// Share of a failure domain's hosts under notice from which the whole domain counts as going.
  double domainGoingShare = 0.5;

  /// Fewest hosts under notice for domainGoingShare to apply.
  int domainGoingHosts = 2;

  /// Grace assumed when only the host list or the endpoint itself says that it leaves.
  Milliseconds defaultGrace{ 10'000 };
};

} // namespace lagoonward
