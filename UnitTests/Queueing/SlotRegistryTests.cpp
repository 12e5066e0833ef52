#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Queueing/SlotRegistry.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kEndpoint = 7;

/// Records what the owners of pools would be told.
class RecordingSource final : public SlotSource
{
public:
  void RequestSlot(const SlotMessage& /*aRequest*/,
                   std::function<void(const SlotReply& aReply)> aAnswered) override
  {
    aAnswered({});
  }

  void Notify(const SlotMessage& aUpdate) override { this->updates.push_back(aUpdate); }

  std::vector<SlotMessage> updates;
};

class RegistryFixture
{
public:
  RegistryFixture() { this->registry.SetRun(5); }

  SlotMessage MakeRequest()
  {
    SlotMessage request;
    request.pool = 3;
    request.leaseMs = 1000;
    request.excluded = { 1, 2 };
    request.grantedBy = 9;
    this->registry.Identify(request);
    return request;
  }

  [[nodiscard]] SlotHold Hold(const SlotMessage& aRequest)
  {
    return { this->registry, this->source, aRequest, kEndpoint };
  }

  VirtualClock clock;
  SlotRegistry registry{ this->clock };
  RecordingSource source;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotRegistryTests)

/// Guards against requests of different daemons or processes that the owner takes for the same one.
BOOST_AUTO_TEST_CASE(EveryRequestOfEveryProcessHasItsOwnLease)
{
  RegistryFixture fixture;
  RegistryFixture other;
  other.registry.SetRun(6);
  const SlotMessage first = fixture.MakeRequest();
  const SlotMessage second = fixture.MakeRequest();
  BOOST_TEST(first.run == 5);
  BOOST_TEST(first.lease != second.lease);
  BOOST_TEST(first.lease != other.MakeRequest().lease);
}

/// Guards against a new owner that doesn't learn of a request in flight, or takes its slot for too long.
BOOST_AUTO_TEST_CASE(RequestsInFlightAreDeclaredWithTheTimeTheyHaveLeft)
{
  RegistryFixture fixture;
  const SlotMessage request = fixture.MakeRequest();
  const SlotHold hold = fixture.Hold(request);
  fixture.clock.Advance(Milliseconds(400));
  const auto declarations = fixture.registry.Declarations();
  BOOST_REQUIRE(declarations.size() == 1);
  const SlotMessage& declared = declarations.front();
  BOOST_TEST((declared.action == SlotAction::Declare));
  BOOST_TEST(declared.lease == request.lease);
  BOOST_TEST(declared.pool == 3);
  BOOST_TEST(declared.endpoint == kEndpoint);
  BOOST_TEST(declared.leaseMs == 600);
  BOOST_TEST(declared.excluded.empty());
}

/// Guards against a time left that wraps around to weeks once a request is overdue.
BOOST_AUTO_TEST_CASE(AnOverdueRequestIsDeclaredForAMillisecond)
{
  RegistryFixture fixture;
  const SlotHold hold = fixture.Hold(fixture.MakeRequest());
  fixture.clock.Advance(Milliseconds(5000));
  BOOST_TEST(fixture.registry.Declarations().front().leaseMs == 1);
}

/// Guards against an owner that is told of an end twice, or of another end than the first.
BOOST_AUTO_TEST_CASE(OnlyTheFirstEndIsTold)
{
  RegistryFixture fixture;
  const SlotMessage request = fixture.MakeRequest();
  {
    SlotHold hold = fixture.Hold(request);
    BOOST_TEST(hold.IsHeld());
    hold.End(SlotAction::Complete);
    BOOST_TEST(!hold.IsHeld());
    hold.End(SlotAction::Fail);
  }
  BOOST_REQUIRE(fixture.source.updates.size() == 1);
  const SlotMessage& update = fixture.source.updates.front();
  BOOST_TEST((update.action == SlotAction::Complete));
  BOOST_TEST(update.lease == request.lease);
  BOOST_TEST(update.endpoint == kEndpoint);
  BOOST_TEST(update.grantedBy == 9);
  BOOST_TEST(fixture.registry.InFlight() == 0);
}

/// Guards against a slot that stays taken when the request that holds it is dropped.
BOOST_AUTO_TEST_CASE(ADestroyedHoldEndsAsAbandoned)
{
  RegistryFixture fixture;
  {
    const SlotHold hold = fixture.Hold(fixture.MakeRequest());
  }
  BOOST_REQUIRE(fixture.source.updates.size() == 1);
  BOOST_TEST((fixture.source.updates.front().action == SlotAction::Abandon));
}

/// Guards against a slot that is given back where its hold is only moved.
BOOST_AUTO_TEST_CASE(AMovedHoldKeepsItsSlotAndGivesBackTheOneItReplaces)
{
  RegistryFixture fixture;
  const SlotMessage kept = fixture.MakeRequest();
  const SlotMessage replaced = fixture.MakeRequest();
  SlotHold source = fixture.Hold(kept);
  SlotHold target = fixture.Hold(replaced);
  target = std::move(source);
  BOOST_TEST(target.IsHeld());
  BOOST_REQUIRE(fixture.source.updates.size() == 1);
  BOOST_TEST(fixture.source.updates.front().lease == replaced.lease);
  SlotHold last(std::move(target));
  BOOST_TEST(fixture.registry.InFlight() == 1);
  last.End(SlotAction::Complete);
  BOOST_TEST(fixture.source.updates.back().lease == kept.lease);
}

BOOST_AUTO_TEST_SUITE_END()
