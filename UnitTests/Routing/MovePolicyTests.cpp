#include "Lagoonward/Routing/MovePolicy.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

MoveState
MakeStream()
{
  MoveState state;
  state.secondsLeft = 10;
  state.tokensLeft = 1000;
  state.stepSeconds = 0.03;
  state.contextTokens = 10000;
  state.canTransfer = true;
  return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MovePolicyTests)

BOOST_AUTO_TEST_CASE(StreamsThatEndBeforeTerminationFinishInPlace)
{
  MoveState state = MakeStream();
  state.tokensLeft = 100;
  BOOST_TEST((PlanMove(state, {}).kind == StreamMoveKind::FinishInPlace));
}

BOOST_AUTO_TEST_CASE(TransfersGetDisjointSlotsBeforeTermination)
{
  const MoveSettings settings;
  MoveState state = MakeStream();
  double latest = state.secondsLeft - settings.marginSeconds;
  for (int stream = 0; stream < 20; ++stream) {
    const StreamMovePlan plan = PlanMove(state, settings);
    BOOST_TEST((plan.kind == StreamMoveKind::Transfer));
    BOOST_TEST(plan.startInSeconds + plan.transferSeconds <= latest + 1e-9);
    latest = plan.startInSeconds + settings.transferSetupSeconds * settings.durationMargin;
    state.laterTransferTokens += state.contextTokens;
  }
}

BOOST_AUTO_TEST_CASE(StreamsThatCannotBeTransferredAreResumed)
{
  MoveState state = MakeStream();
  state.canTransfer = false;
  BOOST_TEST((PlanMove(state, {}).kind == StreamMoveKind::Resume));
  state.canTransfer = true;
  state.secondsLeft = 0.5;
  const StreamMovePlan late = PlanMove(state, {});
  BOOST_TEST((late.kind == StreamMoveKind::Resume));
  BOOST_TEST(late.startInSeconds == 0);
}

BOOST_AUTO_TEST_SUITE_END()
