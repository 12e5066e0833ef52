#include "Lagoonward/Queueing/PoolLedger.h"
#include "UnitTests/Queueing/QueueFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Endpoints with as many slots as a pool has: each is a pool of its own.
QueuePoolsPtr
MakePools(int aEndpoints)
{
  FleetSnapshot fleet;
  for (int index = 0; index < aEndpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = "host-" + std::to_string(index);
    endpoint.name = "calls";
    endpoint.sequences = 1;
    fleet.endpoints.push_back(endpoint);
  }
  const QueuePoolSettings settings{ .slotsPerPool = 1 };
  return std::make_shared<const QueuePools>(fleet, settings, [](std::string_view) { return true; });
}

/// A ledger on a virtual clock, and the last reply to each request.
class LedgerFixture
{
public:
  explicit LedgerFixture(int aPools, const PoolLedgerSettings& aSettings = {})
    : ledger(aSettings, this->clock)
  {
    this->SetPools(aPools);
  }

  void SetPools(int aPools)
  {
    this->pools = MakePools(aPools);
    this->ledger.SetPools(this->pools);
  }

  [[nodiscard]] std::uint64_t Pool(std::size_t aIndex) const
  {
    return this->pools->PoolsOf("calls")[aIndex].key;
  }

  void Ask(std::uint64_t aPool, SlotMessage aRequest, bool aIsPrimary = true)
  {
    aRequest.pool = aPool;
    this->replies.erase(aRequest.lease);
    this->ledger.Handle(
      aRequest, aIsPrimary,
      [this, lease = aRequest.lease](const SlotReply& aReply) { this->replies[lease] = aReply; });
  }

  void Tell(std::uint64_t aPool, std::uint64_t aLease, SlotAction aAction)
  {
    SlotMessage update = MakeSlotUpdate(aLease, aAction);
    update.pool = aPool;
    this->ledger.Handle(update, true, [](const SlotReply&) {});
  }

  [[nodiscard]] std::optional<SlotAnswer> AnswerTo(std::uint64_t aLease) const
  {
    const auto found = this->replies.find(aLease);
    return found == this->replies.end() ? std::nullopt : std::optional(found->second.answer);
  }

  /// Whether the queue of a pool refuses what misses its target: its slot is taken and ten requests wait.
  [[nodiscard]] bool IsStanding(std::uint64_t aPool, bool aIsPrimary)
  {
    for (std::uint64_t lease = 1; lease <= 11; ++lease) {
      this->Ask(aPool, MakeSlotRequest(lease), aIsPrimary);
    }
    SlotMessage hasty = MakeSlotRequest(12);
    hasty.targetMs = 100;
    this->Ask(aPool, hasty, aIsPrimary);
    return this->AnswerTo(12) == SlotAnswer::Refused;
  }

  VirtualClock clock;
  PoolLedger ledger;
  QueuePoolsPtr pools;
  std::map<std::uint64_t, SlotReply> replies;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PoolLedgerTests)

/// Guards against requests of one pool that take the slots of another.
BOOST_AUTO_TEST_CASE(EachPoolHasItsOwnQueue)
{
  LedgerFixture fixture(2);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(2));
  fixture.Ask(fixture.Pool(1), MakeSlotRequest(3));
  BOOST_TEST((fixture.AnswerTo(1) == SlotAnswer::Granted));
  BOOST_TEST(!fixture.AnswerTo(2).has_value());
  BOOST_TEST((fixture.AnswerTo(3) == SlotAnswer::Granted));
  fixture.Tell(fixture.Pool(0), 1, SlotAction::Complete);
  BOOST_TEST((fixture.AnswerTo(2) == SlotAnswer::Granted));
}

/// Guards against a request that is never answered because its sender knows a pool that this daemon doesn't.
BOOST_AUTO_TEST_CASE(AnUnknownPoolIsAnsweredNotOwner)
{
  LedgerFixture fixture(1);
  fixture.Ask(12345, MakeSlotRequest(1));
  BOOST_TEST((fixture.AnswerTo(1) == SlotAnswer::NotOwner));
  BOOST_TEST(fixture.ledger.State().pools == 0);
}

/// Guards against metrics that disagree with the queues, also after one was dropped.
BOOST_AUTO_TEST_CASE(TheStateSumsAllPools)
{
  LedgerFixture fixture(2);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(2));
  fixture.Ask(fixture.Pool(1), MakeSlotRequest(3));
  const PoolLedgerState state = fixture.ledger.State();
  BOOST_TEST(state.pools == 2);
  BOOST_TEST(state.waiting == 1);
  BOOST_TEST(state.takenSlots == 2);
  BOOST_TEST(state.slots == 2);
  BOOST_TEST(state.counts.granted == 2);
  BOOST_TEST(state.counts.queued == 1);
  fixture.ledger.OnOwnersChanged([](std::uint64_t) { return false; });
  const PoolLedgerState after = fixture.ledger.State();
  BOOST_TEST(after.pools == 0);
  BOOST_TEST(after.waiting == 0);
  BOOST_TEST(after.counts.granted == 2);
}

/// Guards against requests that wait at a daemon that no longer owns their pool.
BOOST_AUTO_TEST_CASE(WhatWaitsIsAnsweredNotOwnerWhenThePoolIsLost)
{
  LedgerFixture fixture(2);
  for (std::uint64_t lease = 1; lease <= 4; ++lease) {
    fixture.Ask(fixture.Pool(lease % 2), MakeSlotRequest(lease));
  }
  const std::uint64_t kept = fixture.Pool(0);
  fixture.ledger.OnOwnersChanged([&](std::uint64_t aPool) { return aPool == kept; });
  BOOST_TEST((fixture.AnswerTo(3) == SlotAnswer::NotOwner));
  BOOST_TEST(!fixture.AnswerTo(4).has_value());
}

/// Guards against the slots of a pool counting as free, or its queue being dropped, when the list of endpoints changes.
BOOST_AUTO_TEST_CASE(ANewDivisionKeepsTheQueuesOfPoolsThatRemain)
{
  LedgerFixture fixture(2);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(2));
  const std::uint64_t pool = fixture.Pool(0);
  fixture.SetPools(3);
  BOOST_REQUIRE(fixture.pools->Find(pool) != nullptr);
  BOOST_TEST(!fixture.AnswerTo(2).has_value());
  BOOST_TEST(fixture.ledger.State().takenSlots == 1);
  fixture.SetPools(0);
  BOOST_TEST((fixture.AnswerTo(2) == SlotAnswer::NotOwner));
  BOOST_TEST(fixture.ledger.State().pools == 0);
}

/// Guards against memory that grows with every pool that was ever asked for, and against dropping queues in use.
BOOST_AUTO_TEST_CASE(IdlePoolsMakeRoomForOthersWhenThereAreTooMany)
{
  PoolLedgerSettings settings;
  settings.maximumPools = 2;
  LedgerFixture fixture(3, settings);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  fixture.Ask(fixture.Pool(1), MakeSlotRequest(2));
  fixture.Ask(fixture.Pool(2), MakeSlotRequest(3));
  BOOST_TEST((fixture.AnswerTo(3) == SlotAnswer::NotOwner));
  fixture.clock.Advance(settings.idleTimeout + Milliseconds(1));
  fixture.Tell(fixture.Pool(1), 2, SlotAction::Complete);
  fixture.Ask(fixture.Pool(2), MakeSlotRequest(4));
  BOOST_TEST((fixture.AnswerTo(4) == SlotAnswer::Granted));
  BOOST_TEST(fixture.ledger.State().pools == 2);
}

/// Guards against a primary owner that doesn't notice that another daemon has kept the queue before.
BOOST_AUTO_TEST_CASE(ANewPrimaryTakesOverAStandingQueue)
{
  LedgerFixture fixture(1);
  fixture.clock.Advance(Milliseconds(10'000));
  BOOST_TEST(fixture.IsStanding(fixture.Pool(0), true));
}

/// Guards against a primary that treats each burst as a queue taken over.
BOOST_AUTO_TEST_CASE(APrimaryOfLongStandingQueuesABurst)
{
  LedgerFixture fixture(1);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(100));
  fixture.clock.Advance(QueueFixture::kServiceTime);
  fixture.Tell(fixture.Pool(0), 100, SlotAction::Complete);
  fixture.clock.Advance(Milliseconds(10'000));
  BOOST_TEST(!fixture.IsStanding(fixture.Pool(0), true));
}

/// Guards against a backup that keeps an old queue's age: it gets requests only while the primary doesn't answer.
BOOST_AUTO_TEST_CASE(ABackupTakesOverAfterAPauseOnly)
{
  LedgerFixture fixture(1);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(100), false);
  fixture.clock.Advance(QueueFixture::kServiceTime);
  fixture.Tell(fixture.Pool(0), 100, SlotAction::Complete);
  fixture.clock.Advance(Milliseconds(800));
  BOOST_TEST(!fixture.IsStanding(fixture.Pool(0), false));
  fixture.ledger.OnRunEnded(1);
  fixture.clock.Advance(PoolLedgerSettings().backupPause + Milliseconds(1));
  BOOST_TEST(fixture.IsStanding(fixture.Pool(0), false));
}

/// Guards against slots that stay taken after their daemon has ended.
BOOST_AUTO_TEST_CASE(ADaemonThatEndedLeavesTheQueuesOfAllPools)
{
  LedgerFixture fixture(2);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  fixture.Ask(fixture.Pool(1), MakeSlotRequest(2));
  fixture.ledger.OnRunEnded(1);
  BOOST_TEST(fixture.ledger.State().takenSlots == 0);
}

/// Guards against polls that are never answered in pools without further messages.
BOOST_AUTO_TEST_CASE(AnUpdateAnswersPollsInAllPools)
{
  LedgerFixture fixture(1);
  fixture.Ask(fixture.Pool(0), MakeSlotRequest(1));
  SlotMessage request = MakeSlotRequest(2);
  request.waitMs = 100;
  fixture.Ask(fixture.Pool(0), request);
  fixture.clock.Advance(Milliseconds(100));
  fixture.ledger.Update();
  BOOST_TEST((fixture.AnswerTo(2) == SlotAnswer::Waiting));
}

BOOST_AUTO_TEST_SUITE_END()
