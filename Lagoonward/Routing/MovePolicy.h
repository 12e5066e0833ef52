#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// What can be done with a stream whose host has been announced to go.
enum class HostExit
{
  FinishInPlace, ///< It is done before the host goes.
  Transfer,      ///< Export its KV cache, import it elsewhere: nothing is computed again.
  Resume,        ///< Send prompt and relayed tokens elsewhere, to be read again.
};

/// Tunables of moves.
struct MoveSettings
{
  double safety = 1.3;                     ///< Predicted times count so many times over.
  double marginSeconds = 1;                ///< Must be left when everything is done.
  double transferTokensPerSecond = 100000; ///< KV cache that one host can send, in tokens.
  double transferSetupSeconds = 0.05;      ///< Before each transfer.
};

/// One stream on a leaving host.
struct MoveState
{
  double secondsLeft = 0;   ///< Until the host may be gone.
  double tokensLeft = 0;    ///< Expected rest of the answer.
  double stepSeconds = 0;   ///< Between two tokens there.
  double contextTokens = 0; ///< Prompt and answer so far.
  double laterTokens = 0;   ///< Context of the streams that will be transferred after this one.
  bool canTransfer = false; ///< Whether the engine exports KV caches.
};

/// What to do and when to begin, counted from now.
struct HostExitPlan
{
  HostExit kind = HostExit::FinishInPlace;
  double startInSeconds = 0;
  double transferSeconds = 0;
};

/// Plans one stream's way off a leaving host. Transfers share the host's link, so each gets a slot counted back from the
/// moment the host goes, which also lets streams generate as long as they safely can. Where the link cannot carry them all in
/// time, the rest are resumed at once. Pure; called again on every further notice.
[[nodiscard]] HostExitPlan
PlanMove(const MoveState& aState, const MoveSettings& aSettings);

} // namespace lagoonward
