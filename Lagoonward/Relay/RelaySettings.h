#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Relay/ConnectionReuse.h"
#include "Lagoonward/Relay/PathMonitor.h"
#include "Lagoonward/Wire/HttpTransfer.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of relayed requests.
struct RelaySettings
{
  HttpClientSettings client;
  PathMonitorSettings path;
  ConnectionReuseSettings connectionReuse;

  /// Interval of the check for disconnected callers. Two checks fit in the half second within which an endpoint should
  /// stop working for a disconnected caller.
  Milliseconds callerCheckInterval{ 200 };

  /// The same interval for forwarded requests: the other daemon's check comes after it.
  Milliseconds forwardCheckInterval{ 100 };

  /// Silence timeout after which a repeatable plain request is sent to another endpoint, as a multiple of its latency
  /// target.
  double silenceFactor = 2.5;
  Milliseconds minimumSilence{ 250 };

  /// The same timeout for a resumable stream before its first event. An endpoint also sends no data while the request
  /// waits in its queue.
  double firstEventSilenceFactor = 2;

  /// The same timeout between two events, as a multiple of the target for the interval between events.
  double eventGapSilenceFactor = 2;

  /// Extra time beyond the deadline of the request after which the HTTP client itself ends an attempt.
  Milliseconds attemptTimeoutMargin{ 1000 };

  /// How long before the deadline of a request an endpoint may stop it, as it is sent whole milliseconds and has a clock
  /// of its own. A body that ends with its connection then does not prove a complete response.
  Milliseconds deadlineMargin{ 5 };

  /// How long a request waits for an available endpoint before it is refused, as a fraction of its latency target.
  /// Short enough that a retry by the caller can still meet the target.
  double endpointWaitFactor = 0.1;
  /// How long a request waits for a place at a brittle service, as a fraction of its latency target: its endpoints let
  /// hardly any request wait, so it waits here.
  double placeWaitFactor = 0.75;
  /// Endpoints that a request asks for a free place before it waits for one.
  int placeProbes = 3;
  /// Endpoints at which a request learns that it would wait for too long before it is refused.
  int placeRefusals = 3;
  /// How long a request waits at one endpoint before it asks another: less than the owners' reply timeout.
  Milliseconds placeQueueTime{ 100 };
  /// How long an endpoint is not asked again whose owners did not reply.
  Milliseconds placeNoReplyBlockTime{ 100 };
  /// How long the owner of a pool may hold back its reply to a request that waits for a slot: less than the time after
  /// which the next owner is asked.
  Milliseconds slotPollTime{ 100 };
  /// How long a request asks for a slot again while no daemon gives out those of a pool; then it is sent without one.
  Milliseconds slotOwnerWait{ 100 };
  /// Bytes of the bodies of all requests that wait for a slot in this daemon. A further one is granted a slot at once or
  /// refused.
  std::size_t maximumWaitingBytes = 8U << 20U;
  /// Added to the time in which a queued request ends, for the messages about it.
  Milliseconds slotLeaseMargin{ 500 };
  /// How long a stream that was begun waits for an endpoint of its software version to accept it, as a multiple of the
  /// target for the interval between events.
  double resumptionWaitFactor = 1;
  /// How long a stream whose origin is not recorded waits for a snapshot of the endpoints that is as new as the request: over two intervals
  /// between reads of their source.
  Milliseconds currentSnapshotWait{ 1'000 };
  /// Interval at which the origin of a stream in progress is recorded again, so that it outlasts its retention.
  Milliseconds originRecordInterval{ 20'000 };

  /// How long a request waits for a daemon that has just started to learn how many daemons share its client's limit, as
  /// a fraction of its latency target.
  double limitWaitFactor = 0.25;
  /// How long a stream that was begun waits for tokens of its account's limit, as a multiple of the target for the
  /// interval between events, and the interval at which it asks for them.
  double continuationTokenWaitFactor = 2;
  Milliseconds continuationTokenRetryInterval{ 100 };
  /// Interval of the check whether a snapshot of the endpoints that was too old has been refreshed.
  Milliseconds snapshotRecheckInterval{ 5 };
  /// Interval between two attempts to select an endpoint.
  Milliseconds endpointRetryInterval{ 20 };

  /// A stream that cannot be resumed is moved off a leaving endpoint unless this fraction of its expected output has
  /// arrived.
  double finishInPlaceRatio = 0.8;

  /// How long the end of a stream waits for the reply to the call to move it, without which it can't be told from a stop.
  /// Uses most of the 2 s notice that reclaimed endpoints give.
  Milliseconds moveTimeout{ 1500 };

  /// How long the events that a stopped run has made may be on their way once the reply to the call has come.
  Milliseconds stoppedStreamDrainTime{ 200 };

  /// How long after the end of a response whose body ends with its connection a leaving endpoint is checked: if it has
  /// terminated, it may have cut the response off. Short, as a complete response that ends right before its endpoint
  /// counts as cut off too.
  Milliseconds terminationDelay{ 2 };

  /// How long requests may still reach an endpoint after it has announced that it leaves, or was removed.
  Milliseconds leavingNotice{ 2000 };
  /// Part of it that a request needs to arrive.
  Milliseconds leavingNoticeMargin{ 200 };

  /// Timeout of the call that frees a copied state that no request uses. It delays nothing, so it may be as long as an
  /// endpoint that is silent for a moment needs.
  Milliseconds releaseTimeout{ 2000 };
  /// Such calls in progress at the same time. Copies beyond it are left to the endpoints' own timeout.
  std::size_t maximumReleases = 64;
  /// Moves whose runs have ended and whose replies are awaited at the same time. Those beyond it are cancelled.
  std::size_t maximumAdoptedMoves = 64;

  Milliseconds retryAfterFloor{ 100 }; ///< Minimum Retry-After sent to callers.

  /// Size in tokens of the blocks by which prompts are compared; must match RoutingSettings::prefix.
  int blockTokens = 64;

  std::size_t maximumEventBytes = 256U << 10U; ///< Maximum size of an event from an endpoint.
  /// Maximum size of a response that is not an event stream.
  std::size_t maximumResponseBytes = 4U << 20U;
  /// Maximum size of the responses of all requests together, from their first byte until their callers have read them.
  /// Beyond it responses are stopped; see ResponseMemory.
  std::size_t maximumResponseMemory = 64U << 20U;
};

} // namespace lagoonward
