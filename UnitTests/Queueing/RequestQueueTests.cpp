#include "UnitTests/Queueing/QueueFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;

SlotMessage
MakePolledRequest(std::uint64_t aLease)
{
  SlotMessage request = MakeSlotRequest(aLease);
  request.waitMs = 100;
  return request;
}

/// Queues requests `aFirst` to `aLast` that are never late.
void
Queue(QueueFixture& aFixture, std::uint64_t aFirst, std::uint64_t aLast)
{
  for (std::uint64_t lease = aFirst; lease <= aLast; ++lease) {
    aFixture.Ask(MakeSlotRequest(lease));
  }
}

/// Completes requests `aFirst` to `aLast` one after the other, each after `kServiceTime`.
void
Serve(QueueFixture& aFixture, std::uint64_t aFirst, std::uint64_t aLast)
{
  for (std::uint64_t lease = aFirst; lease <= aLast; ++lease) {
    aFixture.clock.Advance(QueueFixture::kServiceTime);
    aFixture.Tell(MakeSlotUpdate(lease, SlotAction::Complete));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueTests)

/// Guards against urgent requests that wait behind others.
BOOST_AUTO_TEST_CASE(TheHigherPriorityIsServedFirst)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 2);
  SlotMessage urgent = MakeSlotRequest(3);
  urgent.priority = 1;
  fixture.Ask(urgent);
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(3));
  BOOST_TEST(!fixture.IsGranted(2));
}

/// Guards against an account that holds up others by queueing many requests first.
BOOST_AUTO_TEST_CASE(TheAccountWhoseTurnItIsIsServedFirstAtEqualPriority)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 3);
  SlotMessage other = MakeSlotRequest(4);
  other.account = 2;
  fixture.Ask(other);
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(4));
  BOOST_TEST(!fixture.IsGranted(2));
}

/// Guards against an account that waits behind a larger one because urgent requests of others have moved the turns on: a
/// new request then counts as if its account had had its share already.
BOOST_AUTO_TEST_CASE(UrgentRequestsUseNoTurnsOfTheAccountsBelow)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 6);
  for (std::uint64_t lease = 10; lease < 20; ++lease) {
    SlotMessage urgent = MakeSlotRequest(lease);
    urgent.priority = 1;
    urgent.account = 9;
    fixture.Ask(urgent);
  }
  Serve(fixture, 1, 1);
  Serve(fixture, 10, 18);
  SlotMessage small = MakeSlotRequest(30);
  small.account = 2;
  fixture.Ask(small);
  Serve(fixture, 19, 19);
  BOOST_TEST(fixture.IsGranted(30));
  BOOST_TEST(!fixture.IsGranted(2));
}

/// Guards against a request that has waited elsewhere being served after a younger one.
BOOST_AUTO_TEST_CASE(TheOlderIsServedFirstAtEqualTurn)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  for (const std::uint64_t account : { 2U, 3U }) {
    SlotMessage request = MakeSlotRequest(account);
    request.account = account;
    request.ageMs = account == 3 ? 400 : 0;
    fixture.Ask(request);
  }
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(3));
  BOOST_TEST(!fixture.IsGranted(2));
}

/// Guards against a reply that is held back for longer than the daemon waits for it.
BOOST_AUTO_TEST_CASE(APollIsAnsweredWhenItsTimeIsUp)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  fixture.Ask(MakePolledRequest(2));
  fixture.Pass(Milliseconds(99));
  BOOST_TEST(!fixture.AnswerTo(2).has_value());
  fixture.Pass(Milliseconds(1));
  BOOST_TEST((fixture.AnswerTo(2) == SlotAnswer::Waiting));
  BOOST_TEST(fixture.queue.Waiting() == 1);
}

/// Guards against a request that loses its turn because a slot became free while its next poll was on the way.
BOOST_AUTO_TEST_CASE(ASlotGrantedBetweenTwoPollsIsKeptForTheNextPoll)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  fixture.Ask(MakePolledRequest(2));
  fixture.Pass(Milliseconds(100));
  fixture.Tell(MakeSlotUpdate(1, SlotAction::Complete));
  fixture.Ask(MakeSlotRequest(3));
  BOOST_TEST(!fixture.IsGranted(3));
  fixture.Ask(MakePolledRequest(2));
  BOOST_TEST(fixture.IsGranted(2));
  fixture.Pass(RequestQueueSettings().pollGrace);
  BOOST_TEST((fixture.queue.Slots().EndpointOf(2) == kFirst));
}

/// Guards against a slot that is kept for a daemon that has ended or lost interest.
BOOST_AUTO_TEST_CASE(ASlotGrantedToARequestThatStoppedPollingGoesToTheNext)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  fixture.Ask(MakePolledRequest(2));
  fixture.Pass(Milliseconds(100));
  fixture.Tell(MakeSlotUpdate(1, SlotAction::Complete));
  fixture.Ask(MakeSlotRequest(3));
  fixture.Pass(RequestQueueSettings().pollGrace);
  BOOST_TEST(fixture.IsGranted(3));
}

/// Guards against queues full of requests that nobody waits for any more.
BOOST_AUTO_TEST_CASE(ARequestThatStoppedPollingLosesItsTurn)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  fixture.Ask(MakePolledRequest(2));
  fixture.Pass(Milliseconds(100));
  fixture.Pass(RequestQueueSettings().pollGrace - Milliseconds(1));
  BOOST_TEST(fixture.queue.Waiting() == 1);
  fixture.Pass(Milliseconds(1));
  BOOST_TEST(fixture.queue.Waiting() == 0);
}

/// Guards against a first poll that is never answered where a daemon sends the next one early.
BOOST_AUTO_TEST_CASE(ASecondPollAnswersTheFirst)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 1);
  int firstAnswers = 0;
  fixture.queue.Handle(MakePolledRequest(2), [&](const SlotReply&) { ++firstAnswers; });
  fixture.Ask(MakePolledRequest(2));
  BOOST_TEST(firstAnswers == 1);
  BOOST_TEST(fixture.queue.Waiting() == 1);
  Serve(fixture, 1, 1);
  BOOST_TEST(firstAnswers == 1);
  BOOST_TEST(fixture.IsGranted(2));
}

/// Guards against turns and slots that stay with a request that was withdrawn.
BOOST_AUTO_TEST_CASE(AWithdrawnRequestLeavesItsTurnAndItsSlot)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 3);
  fixture.Tell(MakeSlotUpdate(2, SlotAction::Withdraw));
  BOOST_TEST(fixture.IsRefused(2));
  BOOST_TEST(fixture.queue.Waiting() == 1);
  fixture.Tell(MakeSlotUpdate(1, SlotAction::Withdraw));
  BOOST_TEST(fixture.IsGranted(3));
}

/// Guards against a request that only looks for a free slot and is left in the queue.
BOOST_AUTO_TEST_CASE(ARequestThatMayNotWaitIsNeverQueued)
{
  QueueFixture fixture({ { kFirst, 1 } });
  SlotMessage probe = MakeSlotRequest(1);
  probe.waitMs = 0;
  fixture.Ask(probe);
  BOOST_TEST(fixture.IsGranted(1));
  probe.lease = 2;
  fixture.Ask(probe);
  BOOST_TEST(fixture.IsRefused(2));
  BOOST_TEST(fixture.queue.Waiting() == 0);
  BOOST_TEST(fixture.queue.Counts().queued == 0);
}

/// Guards against a request that is refused for the sake of another one which is not queued either.
BOOST_AUTO_TEST_CASE(ARequestThatMayNotWaitRefusesNobody)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.CompleteOne(1);
  Queue(fixture, 2, 2);
  SlotMessage narrow = MakeSlotRequest(3);
  narrow.budgetMs = 250;
  fixture.Ask(narrow);
  SlotMessage probe = MakeSlotRequest(4);
  probe.priority = 1;
  probe.waitMs = 0;
  fixture.Ask(probe);
  BOOST_TEST(fixture.IsRefused(4));
  BOOST_TEST(!fixture.IsRefused(3));
}

/// Guards against less urgent requests that are refused in a standing queue because the same urgent request looks for a
/// free slot in several pools and is counted as arriving work in each.
BOOST_AUTO_TEST_CASE(RequestsThatOnlyLookForAFreeSlotAreNoArrivingWork)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.CompleteOne(1);
  fixture.queue.OnTakenOver();
  Queue(fixture, 2, 3);
  for (std::uint64_t lease = 100; lease < 120; ++lease) {
    SlotMessage probe = MakeSlotRequest(lease);
    probe.priority = 1;
    probe.waitMs = 0;
    fixture.Ask(probe);
  }
  SlotMessage request = MakeSlotRequest(4);
  request.targetMs = 1000;
  fixture.Ask(request);
  BOOST_TEST(!fixture.IsRefused(4));
  BOOST_TEST(fixture.queue.Waiting() == 2);
}

/// Guards against a time to retry after which the request is refused again although nothing else has arrived.
BOOST_AUTO_TEST_CASE(ARefusedRequestIsQueuedAfterTheTimeItWasTold)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.CompleteOne(1);
  Queue(fixture, 2, 10);
  SlotMessage narrow = MakeSlotRequest(100);
  narrow.budgetMs = 350;
  fixture.Ask(narrow);
  BOOST_TEST(fixture.IsRefused(100));
  BOOST_TEST(fixture.replies[100].expectedWaitMs == 900);
  BOOST_TEST(fixture.replies[100].retryAfterMs == 650);
  Serve(fixture, 2, 6);
  narrow.lease = 101;
  fixture.Ask(narrow);
  BOOST_TEST(fixture.IsRefused(101));
  Serve(fixture, 7, 8);
  narrow.lease = 102;
  fixture.Ask(narrow);
  BOOST_TEST(!fixture.IsRefused(102));
}

/// Guards against callers that are sent away for an hour because the only endpoint has failed three times in a row.
BOOST_AUTO_TEST_CASE(RequestsToFailingEndpointsAreToldToRetryAtTheNextTrial)
{
  const SlotTableSettings settings;
  QueueFixture fixture({ { kFirst, 4 } });
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    fixture.Ask(MakeSlotRequest(lease));
    fixture.Tell(MakeSlotUpdate(lease, SlotAction::Fail));
  }
  fixture.Ask(MakeSlotRequest(4));
  BOOST_TEST(fixture.IsRefused(4));
  const Milliseconds after(fixture.replies[4].retryAfterMs);
  BOOST_TEST(after.count() <= settings.failurePause.count());
  fixture.Pass(after);
  fixture.Ask(MakeSlotRequest(5));
  BOOST_TEST(fixture.IsGranted(5));
}

/// Guards against requests refused in a short burst, and against requests that are all late in a queue that never empties.
BOOST_AUTO_TEST_CASE(OnlyAStandingQueueRefusesWhatMissesItsTarget)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.CompleteOne(1);
  Queue(fixture, 2, 41);
  SlotMessage hasty = MakeSlotRequest(100);
  hasty.targetMs = 300;
  fixture.Ask(hasty);
  BOOST_TEST(!fixture.IsRefused(100));
  fixture.Tell(MakeSlotUpdate(100, SlotAction::Withdraw));
  Serve(fixture, 2, 22);
  hasty.lease = 101;
  fixture.Ask(hasty);
  BOOST_TEST(fixture.IsRefused(101));
  Serve(fixture, 23, 41);
  BOOST_TEST(fixture.queue.Waiting() == 0);
  Queue(fixture, 50, 60);
  hasty.lease = 102;
  fixture.Ask(hasty);
  BOOST_TEST(!fixture.IsRefused(102));
}

/// Guards against a new owner that queues for seconds what can't be in time, as it does not know the age of the queue.
BOOST_AUTO_TEST_CASE(AQueueFoundWhenTakenOverIsAStandingOne)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.CompleteOne(1);
  fixture.queue.OnTakenOver();
  Queue(fixture, 2, 10);
  SlotMessage hasty = MakeSlotRequest(100);
  hasty.targetMs = 300;
  fixture.Ask(hasty);
  BOOST_TEST(fixture.IsRefused(100));
}

/// Guards against a large request that never gets its memory because smaller ones always take what is free.
BOOST_AUTO_TEST_CASE(ALargeRequestIsNotOvertakenBySmallOnes)
{
  QueueFixture fixture({ { kFirst, 8, 100 } });
  for (const std::uint64_t lease : { 1U, 2U, 3U }) {
    SlotMessage request = MakeSlotRequest(lease);
    request.memoryTokens = lease == 3 ? 10 : 60;
    fixture.Ask(request);
  }
  BOOST_TEST(fixture.IsGranted(1));
  BOOST_TEST(!fixture.IsGranted(2));
  BOOST_TEST(!fixture.IsGranted(3));
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(2));
  BOOST_TEST(fixture.IsGranted(3));
}

/// Guards against endpoints that stay free because the first request of the queue cannot use them.
BOOST_AUTO_TEST_CASE(ARequestThatExcludesTheFreeEndpointHoldsNobodyUp)
{
  QueueFixture fixture({ { kFirst, 1 }, { kSecond, 1 } });
  SlotMessage choosy = MakeSlotRequest(1);
  choosy.excluded = { kFirst };
  fixture.Ask(choosy);
  BOOST_TEST((fixture.replies[1].endpoint == kSecond));
  choosy.lease = 2;
  fixture.Ask(choosy);
  BOOST_TEST(!fixture.AnswerTo(2).has_value());
  fixture.Ask(MakeSlotRequest(3));
  BOOST_TEST((fixture.replies[3].endpoint == kFirst));
}

/// Guards against memory that is kept free for a large request at an endpoint which that request cannot use.
BOOST_AUTO_TEST_CASE(ALargeRequestKeepsNoMemoryAtEndpointsThatItExcludes)
{
  QueueFixture fixture({ { kFirst, 8, 100 }, { kSecond, 8, 100 } });
  for (const std::uint64_t lease : { 1U, 2U, 3U }) {
    SlotMessage request = MakeSlotRequest(lease);
    request.memoryTokens = 60;
    request.excluded = lease == 3 ? std::vector{ kFirst } : std::vector<std::uint64_t>{};
    fixture.Ask(request);
  }
  BOOST_TEST(!fixture.AnswerTo(3).has_value());
  for (const std::uint64_t lease : { 4U, 5U }) {
    SlotMessage small = MakeSlotRequest(lease);
    small.memoryTokens = 20;
    fixture.Ask(small);
    BOOST_TEST(fixture.IsGranted(lease));
    BOOST_TEST(fixture.replies[lease].endpoint == kFirst);
  }
}

/// Guards against queues without limit, and against an urgent request refused because many others wait.
BOOST_AUTO_TEST_CASE(AFullQueueKeepsTheMoreUrgent)
{
  RequestQueueSettings settings;
  settings.maximumWaiting = 2;
  QueueFixture fixture({ { kFirst, 1 } }, settings);
  Queue(fixture, 1, 3);
  SlotMessage urgent = MakeSlotRequest(4);
  urgent.priority = 1;
  fixture.Ask(urgent);
  BOOST_TEST(fixture.IsRefused(3));
  BOOST_TEST(fixture.queue.Waiting() == 2);
  fixture.Ask(MakeSlotRequest(5));
  BOOST_TEST(fixture.IsRefused(5));
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(4));
}

/// Guards against callers that wait for an owner which has given the pool away.
BOOST_AUTO_TEST_CASE(ClosingAnswersNotOwnerToAllThatWait)
{
  QueueFixture fixture({ { kFirst, 1 } });
  Queue(fixture, 1, 3);
  fixture.queue.Close();
  BOOST_TEST((fixture.AnswerTo(2) == SlotAnswer::NotOwner));
  BOOST_TEST((fixture.AnswerTo(3) == SlotAnswer::NotOwner));
  BOOST_TEST(fixture.queue.Waiting() == 0);
}

/// Guards against requests that wait in a pool of which nothing is known.
BOOST_AUTO_TEST_CASE(APoolWithoutEndpointsAnswersNotOwner)
{
  QueueFixture fixture({});
  fixture.Ask(MakeSlotRequest(1));
  BOOST_TEST((fixture.AnswerTo(1) == SlotAnswer::NotOwner));
}

/// Guards against turns and slots that stay with a daemon process that has ended.
BOOST_AUTO_TEST_CASE(ADaemonThatEndedLeavesItsTurnsAndSlots)
{
  QueueFixture fixture({ { kFirst, 1 } });
  for (const std::uint64_t lease : { 1U, 2U }) {
    SlotMessage request = MakeSlotRequest(lease);
    request.run = 2;
    fixture.Ask(request);
  }
  fixture.Ask(MakeSlotRequest(3));
  fixture.queue.OnRunEnded(2);
  BOOST_TEST(fixture.IsGranted(3));
  BOOST_TEST(fixture.queue.Waiting() == 0);
}

/// Guards against requests sent again to an endpoint that already runs some, by a new owner.
BOOST_AUTO_TEST_CASE(ADeclaredRequestTakesASlot)
{
  QueueFixture fixture({ { kFirst, 1 } });
  fixture.Tell(MakeSlotUpdate(1, SlotAction::Declare, kFirst));
  fixture.Ask(MakeSlotRequest(2));
  BOOST_TEST(!fixture.AnswerTo(2).has_value());
  Serve(fixture, 1, 1);
  BOOST_TEST(fixture.IsGranted(2));
}

BOOST_AUTO_TEST_SUITE_END()
