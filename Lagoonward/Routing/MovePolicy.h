#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Action for a stream on a host that has announced its termination.
enum class StreamMoveKind
{
  FinishInPlace, ///< The stream ends before the host terminates.
  Transfer,      ///< Export the KV cache and import it at another endpoint; nothing is recomputed.
  Resume, ///< Send the prompt and the relayed tokens to another endpoint, which prefills them again.
};

/// Tunables of PlanMove().
struct MoveSettings
{
  double durationMargin = 1.3; ///< Factor on predicted times.
  /// Time that must be left before termination when the move is complete.
  double marginSeconds = 1;
  double transferTokensPerSecond = 100000; ///< Rate at which one host can export KV cache.
  double transferSetupSeconds = 0.05;      ///< Fixed cost of each transfer.
};

/// State of one stream on a leaving host.
struct MoveState
{
  double secondsLeft = 0;   ///< Time until the host may terminate.
  double tokensLeft = 0;    ///< Expected remaining output tokens.
  double stepSeconds = 0;   ///< Time between two tokens at the current endpoint.
  double contextTokens = 0; ///< Prompt and output tokens so far.
  double laterTransferTokens =
    0;                      ///< Context tokens of the streams to be transferred after this one.
  bool canTransfer = false; ///< Whether the engine exports KV caches.
};

/// Action for one stream, and its start relative to now.
struct StreamMovePlan
{
  StreamMoveKind kind = StreamMoveKind::FinishInPlace;
  double startInSeconds = 0;
  double transferSeconds = 0;
};

/// Plans the action for one stream on a leaving host. Transfers share the host's link, so each gets a time slot counted
/// back from the host's termination. This also lets streams generate as long as is safe. A stream that cannot be
/// transferred in the remaining time is resumed at another endpoint. Pure function; called again on every further
/// notice.
[[nodiscard]] StreamMovePlan
PlanMove(const MoveState& aState, const MoveSettings& aSettings);

} // namespace lagoonward
