#include "Lagoonward/Routing/MovePolicy.h"

#include <algorithm>

namespace lagoonward {

HostExitPlan
PlanMove(const MoveState& aState, const MoveSettings& aSettings)
{
  const double usable = aState.secondsLeft - aSettings.marginSeconds;
  if (aState.tokensLeft * aState.stepSeconds * aSettings.safety <= usable) {
    return {};
  }
  HostExitPlan plan;
  const double own =
    aSettings.transferSetupSeconds + aState.contextTokens / aSettings.transferTokensPerSecond;
  const double later = aState.laterTokens / aSettings.transferTokensPerSecond;
  const double needed = (own + later) * aSettings.safety;
  if (aState.canTransfer && own * aSettings.safety <= usable) {
    plan.kind = HostExit::Transfer;
    plan.startInSeconds = std::max(usable - needed, 0.0);
    plan.transferSeconds = own;
    return plan;
  }
  plan.kind = HostExit::Resume;
  plan.startInSeconds = std::max(usable, 0.0);
  return plan;
}

} // namespace lagoonward
