#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Settings of attempts and of stored answers.
struct AttemptSettings
{
  /// A stream without data for this many times the class's between_tokens_ms, but at least minimumSilence, is
  /// resumed on a new connection.
  double silenceFactor = 15;
  Milliseconds minimumSilence{ 1000 };
  /// The same before the first token, as a multiple of first_token_ms: a queued request sends no data either.
  double firstTokenSilenceFactor = 2;
  /// How long a resumed stream may take to its first event before the endpoint counts as failed.
  Milliseconds reconnectTimeout{ 1000 };
  /// Timeout of each of the two steps of copying a KV cache.
  Milliseconds kvTransferTimeout{ 10'000 };
  /// Timeout after which an idempotent service call is sent again on a new connection; doubles with each attempt. Any
  /// other call waits until its deadline.
  Milliseconds serviceSilenceTimeout{ 1500 };
  /// First wait before the next attempt if no endpoint accepts an admitted request; doubles each time up to
  /// maximumBackoff.
  Milliseconds initialBackoff{ 50 };
  Milliseconds maximumBackoff{ 1000 };
  /// Interval at which a run checks its callers and its silence timeout.
  Milliseconds tickInterval{ 250 };
  /// How long a run with an idempotency key continues after all its callers have disconnected.
  Milliseconds abandonGrace{ 10'000 };
  /// How long a finished answer is stored for repeated requests.
  Milliseconds answerLifetime{ 600'000 };
  /// Memory limit for finished answers; the oldest is evicted first.
  std::size_t answerBytes = 16U << 20U;
  /// Interval between two reads of an answer that another daemon serves.
  Milliseconds remoteReadInterval{ 40 };
  /// Largest event accepted from an engine.
  std::size_t maximumEventBytes = 64U << 10U;
  /// Largest response body accepted from a plain service.
  std::size_t maximumServiceReplyBytes = 4U << 20U;
  /// Maximum size of the unfinished answers and replies of all requests together, of which each traffic thread has an equal
  /// share. Beyond it some are stopped; see ResponseMemory.
  std::size_t maximumResponseMemory = 64U << 20U;
  /// Number of requests whose decisions are stored.
  std::size_t journalRequests = 2000;
};

} // namespace lagoonward
