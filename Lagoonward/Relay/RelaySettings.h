#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Wire/HttpTransfer.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of relayed requests.
struct RelaySettings
{
  HttpClientSettings client;

  /// How often the connections of waiting callers are looked at. Two looks fit the half second within
  /// which an endpoint should stop working for a caller that has gone.
  Milliseconds callerCheck{ 200 };

  /// Silence after which a repeatable plain request is sent elsewhere, as a multiple of its target.
  double silenceFactor = 2.5;
  Milliseconds minimumSilence{ 250 };

  /// The same for a resumable stream before its first event: queues are silent, too.
  double firstEventSilenceFactor = 2;

  /// The same between two events, as a multiple of the target for pauses.
  double pauseSilenceFactor = 2;

  /// How much longer than its request an attempt may last before the library ends it by itself.
  Milliseconds attemptMargin{ 1000 };

  /// How long a request waits for an endpoint to become available before it is refused, as a part of
  /// its target: short enough that the caller's own retry still can meet it.
  double placeWaitFactor = 0.1;
  Milliseconds placePause{ 20 }; ///< Between two looks for an endpoint.

  /// A stream that cannot be resumed is moved off an endpoint that leaves unless this part of it has come.
  double finishPart = 0.8;

  /// How long a move may take: most of the two seconds of notice that reclaimed endpoints give.
  Milliseconds moveTimeout{ 1500 };

  Milliseconds retryAfterFloor{ 100 }; ///< Shortest Retry-After that is given.

  /// Size of the blocks by which prompts are compared, in tokens; also RoutingSettings::prefix.
  int blockTokens = 64;

  std::size_t maximumEventBytes = 256U << 10U; ///< Largest event that an endpoint may send.
  std::size_t maximumAnswerBytes = 4U << 20U;  ///< Largest answer that is not a stream of events.
};

} // namespace lagoonward
