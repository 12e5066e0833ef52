#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Queueing/PoolLedger.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr Milliseconds kPollTime{ 100 };

/// A ledger of one pool with one endpoint of one slot.
struct LedgerFixture
{
  LedgerFixture()
  {
    FleetSnapshot fleet;
    Endpoint endpoint;
    endpoint.id = "e";
    endpoint.name = "s";
    endpoint.sequences = 1;
    fleet.endpoints.push_back(std::move(endpoint));
    const auto pools = std::make_shared<const QueuePools>(fleet, QueuePoolSettings{},
                                                          [](std::string_view) { return true; });
    this->pool = pools->PoolsOf("s").front().key;
    this->ledger.SetPools(pools);
    this->ledger.SetListener([this](std::uint64_t aPool, QueueEvent aEvent) {
      BOOST_TEST(aPool == this->pool);
      ++(aEvent == QueueEvent::TakenOver ? this->takenOver : this->standing);
    });
  }

  SlotAnswer Ask(std::uint64_t aLease, Milliseconds aWait)
  {
    return this->Send(this->MakeRequest(aLease, aWait));
  }

  SlotAnswer Send(const SlotMessage& aRequest)
  {
    // The reply may come after this has returned
    const auto answer = std::make_shared<SlotAnswer>(SlotAnswer::Waiting);
    this->ledger.Handle(aRequest, true,
                        [answer](const SlotReply& aReply) { *answer = aReply.answer; });
    return *answer;
  }

  /// Keeps a request waiting; its polls are answered.
  void KeepWaiting(std::uint64_t aLease, Milliseconds aTime)
  {
    for (Milliseconds passed{ 0 }; passed < aTime; passed += kPollTime) {
      this->Ask(aLease, kPollTime);
      this->clock.Advance(kPollTime);
      this->ledger.Update();
    }
  }

  [[nodiscard]] SlotMessage MakeRequest(std::uint64_t aLease, Milliseconds aWait) const
  {
    SlotMessage request;
    request.pool = this->pool;
    request.run = 1;
    request.lease = aLease;
    request.leaseMs = 60'000;
    request.targetMs = 60'000;
    request.budgetMs = 60'000;
    request.waitMs = static_cast<std::uint32_t>(aWait.count());
    return request;
  }

  VirtualClock clock;
  PoolLedger ledger{ {}, clock };
  std::uint64_t pool = 0;
  int takenOver = 0;
  int standing = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QueueEventTests, LedgerFixture)

/// Guards against an event for each request, which hides the others in the log.
BOOST_AUTO_TEST_CASE(QueueReportsOnceThatItIsTakenOverAndOnceThatItStands)
{
  BOOST_TEST((this->Ask(1, Milliseconds(0)) == SlotAnswer::Granted));
  BOOST_TEST(this->takenOver == 1);
  // A new owner cannot know how old the queue is, so the time after the takeover is not looked at here
  this->clock.Advance(Milliseconds(1000));
  this->ledger.Update();
  this->KeepWaiting(2, Milliseconds(1500));
  BOOST_TEST(this->standing == 0);
  this->KeepWaiting(2, Milliseconds(1500));
  BOOST_TEST(this->standing == 1);
  this->KeepWaiting(2, Milliseconds(1500));
  BOOST_TEST(this->standing == 1);
  BOOST_TEST(this->takenOver == 1);
}

/// Guards against an operator who takes requests for refused that have only asked whether a slot is free.
BOOST_AUTO_TEST_CASE(RequestThatMayNotWaitDoesNotCountAsRefused)
{
  BOOST_TEST((this->Ask(1, Milliseconds(0)) == SlotAnswer::Granted));
  BOOST_TEST((this->Ask(2, Milliseconds(0)) == SlotAnswer::Refused));
  BOOST_TEST(this->ledger.State().counts.granted == 1U);
  BOOST_TEST(this->ledger.State().counts.refused == 0U);
}

/// Guards against requests that are refused for work that does not arrive: a request that asks two pools whether a slot is free
/// and then waits in one counted three times.
BOOST_AUTO_TEST_CASE(RequestThatMayNotWaitDoesNotCountAsArrivedWork)
{
  BOOST_TEST((this->Ask(1, Milliseconds(0)) == SlotAnswer::Granted));
  this->clock.Advance(Milliseconds(1000));
  this->ledger.Update();
  this->KeepWaiting(2, Milliseconds(2500));
  BOOST_TEST_REQUIRE(this->standing == 1);
  for (std::uint64_t lease = 100; lease < 150; ++lease) {
    SlotMessage urgent = this->MakeRequest(lease, Milliseconds(0));
    urgent.priority = 1;
    BOOST_TEST((this->Send(urgent) == SlotAnswer::Refused));
  }
  // At the assumed time of a request, both that wait are served within 100 ms
  SlotMessage usual = this->MakeRequest(3, kPollTime);
  usual.targetMs = 300;
  BOOST_TEST((this->Send(usual) == SlotAnswer::Waiting));
}

BOOST_AUTO_TEST_SUITE_END()
