#include "Lagoonward/Routing/MovePolicy.h"

#include <algorithm>

namespace lagoonward {

StreamMovePlan
PlanMove(const MoveState& aState, const MoveSettings& aSettings)
{
  const double usable = aState.secondsLeft - aSettings.marginSeconds;
  if (aState.tokensLeft * aState.stepSeconds * aSettings.durationMargin <= usable) {
    return {};
  }
  StreamMovePlan plan;
  const double own =
    aSettings.transferSetupSeconds + aState.contextTokens / aSettings.transferTokensPerSecond;
  const double later = aState.laterTransferTokens / aSettings.transferTokensPerSecond;
  const double needed = (own + later) * aSettings.durationMargin;
  if (aState.canTransfer && own * aSettings.durationMargin <= usable) {
    plan.kind = StreamMoveKind::Transfer;
    plan.startInSeconds = std::max(usable - needed, 0.0);
    plan.transferSeconds = own;
    return plan;
  }
  plan.kind = StreamMoveKind::Resume;
  plan.startInSeconds = std::max(usable, 0.0);
  return plan;
}

} // namespace lagoonward
