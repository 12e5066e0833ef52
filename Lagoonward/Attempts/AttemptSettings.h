#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of attempts and of answers that are kept.
struct AttemptSettings
{
  /// Silence after which a stream is resumed on a new connection: this many times the class's
  /// between_tokens_ms, but not less than minimumSilence.
  double silenceFactor = 15;
  Milliseconds minimumSilence{ 1000 };
  /// The same before the first token, as a multiple of first_token_ms: a queue is silent, too.
  double firstTokenSilenceFactor = 2;
  /// How long a new connection may stay without its first event before the endpoint is blamed.
  Milliseconds reconnectPatience{ 1000 };
  /// Longest wait for each of the two steps of copying a KV cache.
  Milliseconds kvTransferTimeout{ 10'000 };
  /// Silence after which an idempotent service call is sent again on a new connection; doubles with each
  /// attempt. Any other call waits until its deadline.
  Milliseconds serviceSilence{ 1500 };
  /// First pause before trying again when no endpoint takes an accepted request; doubles each time.
  Milliseconds firstPause{ 50 };
  Milliseconds longestPause{ 1000 };
  /// How often a run looks after its callers and its silence.
  Milliseconds tick{ 250 };
  /// How long a run with an idempotency key goes on when all its callers have gone.
  Milliseconds abandonGrace{ 10'000 };
  /// How long a finished answer can be asked for again.
  Milliseconds answerLifetime{ 600'000 };
  /// Memory for finished answers; the oldest go first.
  std::size_t answerBytes = 16U << 20U;
  /// Between two reads of an answer that another daemon serves.
  Milliseconds remoteReadInterval{ 40 };
  /// Largest event that an engine may send.
  std::size_t maximumEventBytes = 64U << 10U;
  /// Largest answer of a plain service.
  std::size_t maximumServiceReplyBytes = 4U << 20U;
  /// Requests whose decisions can be asked for.
  std::size_t journalRequests = 2000;
};

} // namespace lagoonward
