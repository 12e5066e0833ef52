#include "Lagoonward/Queueing/SlotTable.h"
#include "UnitTests/Queueing/QueueFixture.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;

/// A table of these endpoints on a virtual clock.
class TableFixture
{
public:
  explicit TableFixture(const std::vector<PoolEndpoint>& aEndpoints,
                        const SlotTableSettings& aSettings = {})
    : table(aSettings, this->clock)
  {
    this->table.SetEndpoints(aEndpoints);
  }

  [[nodiscard]] std::optional<std::uint64_t> Select(std::uint32_t aMemoryTokens = 0) const
  {
    return this->table.Select(1, aMemoryTokens, {});
  }

  void Take(std::uint64_t aEndpoint, std::uint64_t aLease, std::uint32_t aMemoryTokens = 0)
  {
    SlotMessage request = MakeSlotRequest(aLease);
    request.memoryTokens = aMemoryTokens;
    this->table.Take(aEndpoint, request);
  }

  void Declare(std::uint64_t aEndpoint, std::uint64_t aLease)
  {
    this->table.Take(aEndpoint, MakeSlotUpdate(aLease, SlotAction::Declare, aEndpoint));
  }

  /// Runs one request from start to end.
  void Run(std::uint64_t aEndpoint, std::uint64_t aLease, Milliseconds aTime, SlotAction aEnd)
  {
    this->Take(aEndpoint, aLease);
    this->clock.Advance(aTime);
    this->table.End(aLease, aEnd);
  }

  void Pass(Milliseconds aTime)
  {
    this->clock.Advance(aTime);
    this->table.Expire();
  }

  VirtualClock clock;
  SlotTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotTableTests)

/// Guards against more requests at an endpoint than it runs at once.
BOOST_AUTO_TEST_CASE(AnEndpointWhoseSlotsAreTakenIsNotSelected)
{
  TableFixture fixture({ { kFirst, 2 } });
  fixture.Take(kFirst, 1);
  BOOST_TEST((fixture.Select() == kFirst));
  fixture.Take(kFirst, 2);
  BOOST_TEST(!fixture.Select().has_value());
  fixture.table.End(1, SlotAction::Complete);
  BOOST_TEST((fixture.Select() == kFirst));
}

/// Guards against requests whose memory together exceeds the endpoint's.
BOOST_AUTO_TEST_CASE(ARequestThatDoesNotFitIntoTheFreeMemoryIsNotPlaced)
{
  TableFixture fixture({ { kFirst, 4, 100 } });
  fixture.Take(kFirst, 1, 60);
  BOOST_TEST(!fixture.Select(41).has_value());
  BOOST_TEST((fixture.Select(40) == kFirst));
  fixture.table.End(1, SlotAction::Complete);
  BOOST_TEST((fixture.Select(41) == kFirst));
}

/// Guards against a request that no endpoint ever runs because it is larger than any.
BOOST_AUTO_TEST_CASE(ARequestLargerThanTheMemoryRunsAlone)
{
  TableFixture fixture({ { kFirst, 4, 100 } });
  BOOST_TEST((fixture.Select(500) == kFirst));
  fixture.Take(kFirst, 1, 500);
  BOOST_TEST(!fixture.Select(1).has_value());
}

/// Guards against a slot that stays taken for ever because the message about the end was lost.
BOOST_AUTO_TEST_CASE(ASlotIsFreeOnceItsLeaseHasExpired)
{
  TableFixture fixture({ { kFirst, 1 } });
  SlotMessage request = MakeSlotRequest(1);
  request.leaseMs = 300;
  fixture.table.Take(kFirst, request);
  fixture.Pass(Milliseconds(299));
  BOOST_TEST(fixture.table.Taken() == 1);
  fixture.Pass(Milliseconds(1));
  BOOST_TEST(fixture.table.Taken() == 0);
  BOOST_TEST(!fixture.table.EndpointOf(1).has_value());
  BOOST_TEST((fixture.Select() == kFirst));
}

/// Guards against a daemon that takes a slot for days by a wrong lease.
BOOST_AUTO_TEST_CASE(ALeaseIsNoLongerThanTheMaximum)
{
  SlotTableSettings settings;
  settings.maximumLease = Milliseconds(500);
  TableFixture fixture({ { kFirst, 1 } }, settings);
  fixture.Take(kFirst, 1);
  fixture.Pass(Milliseconds(500));
  BOOST_TEST(fixture.table.Taken() == 0);
}

/// Guards against a slot that is given out while the endpoint still runs the request that was given up.
BOOST_AUTO_TEST_CASE(ASlotStaysTakenForAWhileAfterAbandonAndLose)
{
  const SlotTableSettings settings;
  for (const SlotAction end : { SlotAction::Abandon, SlotAction::Lose }) {
    TableFixture fixture({ { kFirst, 1 } });
    fixture.Take(kFirst, 1);
    fixture.table.End(1, end);
    fixture.Pass(settings.abandonedTime - Milliseconds(1));
    BOOST_TEST(!fixture.Select().has_value());
    fixture.Pass(Milliseconds(1));
    BOOST_TEST((fixture.Select() == kFirst));
  }
}

/// Guards against a message that is sent again because its response was lost and then counts as a second failure.
BOOST_AUTO_TEST_CASE(ARepeatedLoseCountsOnce)
{
  TableFixture fixture({ { kFirst, 2 } });
  fixture.Take(kFirst, 1);
  for (int repeat = 0; repeat < 3; ++repeat) {
    fixture.table.End(1, SlotAction::Lose);
  }
  BOOST_TEST((fixture.Select() == kFirst));
}

/// Guards against an endpoint that is filled up again at once after it has rejected a request, or never again.
BOOST_AUTO_TEST_CASE(ARejectionTakesSlotsThatReturnOneByOne)
{
  const SlotTableSettings settings;
  TableFixture fixture({ { kFirst, 4 } });
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    fixture.Take(kFirst, lease);
  }
  fixture.table.End(3, SlotAction::Reject);
  BOOST_TEST(!fixture.Select().has_value());
  fixture.Pass(settings.recoveryInterval);
  BOOST_TEST((fixture.Select() == kFirst));
  fixture.Take(kFirst, 4);
  BOOST_TEST(!fixture.Select().has_value());
  fixture.Pass(settings.recoveryInterval);
  fixture.Take(kFirst, 5);
  fixture.Pass(100 * settings.recoveryInterval);
  BOOST_TEST(fixture.table.Taken() == 0);
}

/// Guards against an endpoint that rejects its only request and then gets none any more.
BOOST_AUTO_TEST_CASE(OneSlotRemainsAfterEveryRejection)
{
  TableFixture fixture({ { kFirst, 4 } });
  fixture.Take(kFirst, 1);
  fixture.table.End(1, SlotAction::Reject);
  fixture.Take(kFirst, 2);
  BOOST_TEST(!fixture.Select().has_value());
  fixture.table.End(2, SlotAction::Reject);
  BOOST_TEST((fixture.Select() == kFirst));
}

/// Guards against all slots of a failing endpoint being given out, as its fast failures make it look free.
BOOST_AUTO_TEST_CASE(AFailingEndpointGetsSingleTrials)
{
  const SlotTableSettings settings;
  TableFixture fixture({ { kFirst, 4 } });
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    fixture.Run(kFirst, lease, Milliseconds(1), SlotAction::Fail);
  }
  BOOST_TEST(!fixture.Select().has_value());
  fixture.Pass(settings.failurePause);
  BOOST_TEST((fixture.Select() == kFirst));
  fixture.Take(kFirst, 4);
  BOOST_TEST(!fixture.Select().has_value());
  fixture.table.End(4, SlotAction::Complete);
  BOOST_TEST((fixture.Select() == kFirst));
}

/// Guards against a failing endpoint that is counted on when waits are predicted.
BOOST_AUTO_TEST_CASE(AFailingEndpointCountsForNoWork)
{
  TableFixture fixture({ { kFirst, 1 }, { kSecond, 1 } });
  const double before = fixture.table.WorkPerSecond();
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    fixture.Run(kFirst, lease, Milliseconds(1), SlotAction::Fail);
  }
  BOOST_TEST(fixture.table.WorkPerSecond() == before / 2);
}

/// Guards against requests sent to an endpoint that is leaving.
BOOST_AUTO_TEST_CASE(AnEndpointThatAcceptsNothingIsNotSelected)
{
  TableFixture fixture({ { kFirst, 4, 0, false }, { kSecond, 1 } });
  BOOST_TEST((fixture.Select() == kSecond));
  BOOST_TEST(fixture.table.Slots() == 1);
}

/// Guards against all requests going to one endpoint, and to a slow one while a fast one is free.
BOOST_AUTO_TEST_CASE(TheEndpointThatEndsFirstIsSelected)
{
  TableFixture fixture({ { kFirst, 4 }, { kSecond, 4 } });
  fixture.Run(kFirst, 1, Milliseconds(200), SlotAction::Complete);
  fixture.Run(kSecond, 2, Milliseconds(100), SlotAction::Complete);
  BOOST_TEST((fixture.Select() == kSecond));
  BOOST_TEST((fixture.table.Select(1, 0, std::array{ kSecond }) == kFirst));
}

/// Guards against requests sent to an endpoint that has stopped: only the time that its requests take shows it.
BOOST_AUTO_TEST_CASE(AnEndpointWhoseRequestsAreOverdueIsAvoided)
{
  TableFixture fixture({ { kFirst, 4 }, { kSecond, 4 } });
  fixture.Run(kFirst, 1, Milliseconds(100), SlotAction::Complete);
  fixture.Run(kSecond, 2, Milliseconds(110), SlotAction::Complete);
  BOOST_TEST((fixture.Select() == kFirst));
  fixture.Take(kFirst, 3);
  fixture.clock.Advance(Milliseconds(1000));
  BOOST_TEST((fixture.Select() == kSecond));
}

/// Guards against slots that count as free, or speeds that are learned anew, each time the list of endpoints changes.
BOOST_AUTO_TEST_CASE(ANewListKeepsWhatIsKnownOfTheEndpointsThatRemain)
{
  TableFixture fixture({ { kFirst, 1 }, { kSecond, 1 } });
  fixture.Run(kFirst, 1, Milliseconds(400), SlotAction::Complete);
  fixture.Take(kFirst, 2);
  fixture.Take(kSecond, 3);
  const double before = fixture.table.ExpectedSeconds(kFirst, 1);
  fixture.table.SetEndpoints(std::array{ PoolEndpoint{ 3, 1 }, PoolEndpoint{ kFirst, 1 } });
  BOOST_TEST(fixture.table.ExpectedSeconds(kFirst, 1) == before);
  BOOST_TEST(fixture.table.Taken(kFirst) == 1);
  BOOST_TEST(fixture.table.Taken() == 1);
  BOOST_TEST(!fixture.table.EndpointOf(3).has_value());
  BOOST_TEST((fixture.Select() == 3U));
}

/// Guards against failures and requests of an instance that has ended being held against the next one, which has another
/// key.
BOOST_AUTO_TEST_CASE(ANewIncarnationStartsEmpty)
{
  TableFixture fixture({ { kFirst, 1 } });
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    fixture.Run(kFirst, lease, Milliseconds(1), SlotAction::Fail);
  }
  fixture.Take(kFirst, 4);
  fixture.table.SetEndpoints(std::array{ PoolEndpoint{ kSecond, 1 } });
  BOOST_TEST(fixture.table.Taken() == 0);
  BOOST_TEST((fixture.Select() == kSecond));
}

/// Guards against slots that stay taken after the daemon that used them has ended.
BOOST_AUTO_TEST_CASE(TheSlotsOfADaemonThatEndedAreFree)
{
  TableFixture fixture({ { kFirst, 2 } });
  SlotMessage other = MakeSlotRequest(1);
  other.run = 2;
  fixture.table.Take(kFirst, other);
  fixture.Take(kFirst, 2);
  fixture.table.OnRunEnded(2);
  BOOST_TEST(fixture.table.Taken() == 1);
  BOOST_TEST((fixture.table.EndpointOf(2) == kFirst));
}

/// Guards against memory that grows with declarations of requests that never end.
BOOST_AUTO_TEST_CASE(NoMoreLeasesAreRecordedThanTheMaximum)
{
  SlotTableSettings settings;
  settings.maximumLeasesPerEndpoint = 3;
  TableFixture fixture({ { kFirst, 1 } }, settings);
  for (std::uint64_t lease = 1; lease <= 10; ++lease) {
    fixture.Declare(kFirst, lease);
  }
  BOOST_TEST(fixture.table.Taken(kFirst) == 3);
  BOOST_TEST(fixture.table.Taken() == 3);
}

/// Guards against a slot that stays taken until its lease expires: two owners grant a request a slot at different endpoints,
/// and the one whose reply came too late learns from the declaration where the request runs.
BOOST_AUTO_TEST_CASE(ADeclarationAtAnotherEndpointMovesTheSlot)
{
  TableFixture fixture({ { kFirst, 1 }, { kSecond, 1 } });
  fixture.Take(kFirst, 1);
  fixture.Declare(kSecond, 1);
  BOOST_TEST(fixture.table.Taken(kFirst) == 0);
  BOOST_TEST(fixture.table.Taken(kSecond) == 1);
  fixture.table.End(1, SlotAction::Complete);
  BOOST_TEST(fixture.table.Taken(kSecond) == 0);
  BOOST_TEST(fixture.table.Taken() == 0);
}

/// Guards against endpoints that seem fast after another daemon has taken their pool over: it does not know when the
/// requests in flight began, so the time until they end says nothing.
BOOST_AUTO_TEST_CASE(ADeclaredRequestTeachesNoSpeed)
{
  TableFixture fixture({ { kFirst, 1 } });
  const double before = fixture.table.ExpectedSeconds(kFirst, 1);
  fixture.Declare(kFirst, 1);
  fixture.clock.Advance(Milliseconds(2));
  fixture.table.End(1, SlotAction::Complete);
  BOOST_TEST(fixture.table.ExpectedSeconds(kFirst, 1) == before);
}

/// Guards against endpoints that seem slow because the owner of their pool reads messages late, as it stood still or its
/// host is busy.
BOOST_AUTO_TEST_CASE(AnEndThatIsReadLateTeachesTheTimeThatTheSenderMeasured)
{
  TableFixture fixture({ { kFirst, 1 } });
  fixture.Take(kFirst, 1);
  fixture.clock.Advance(Milliseconds(3000));
  fixture.table.End(1, SlotAction::Complete, Milliseconds(100));
  BOOST_TEST(fixture.table.ExpectedSeconds(kFirst, 1) == 0.1);
}

/// Guards against endpoints that seem overdue after the owner of their pool has stood still.
BOOST_AUTO_TEST_CASE(NoRequestIsOverdueAfterAStandstill)
{
  TableFixture fixture({ { kFirst, 2 } });
  fixture.Run(kFirst, 1, Milliseconds(100), SlotAction::Complete);
  fixture.Take(kFirst, 2);
  const double before = fixture.table.WorkPerSecond();
  fixture.clock.Advance(Milliseconds(3000));
  BOOST_TEST(fixture.table.WorkPerSecond() < before);
  fixture.table.OnStandstill();
  BOOST_TEST(fixture.table.WorkPerSecond() == before);
}

BOOST_AUTO_TEST_SUITE_END()
