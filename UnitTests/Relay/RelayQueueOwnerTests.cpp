#include "UnitTests/Relay/RelayFixture.h"

#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Owners that do not give out slots at first, or never.
class FakeOwners final : public SlotSource
{
public:
  /// @param aRefusals  requests that are answered NotOwner before one is granted
  explicit FakeOwners(int aRefusals)
    : refusalsLeft(aRefusals)
  {
  }

  void RequestSlot(const SlotMessage& aRequest,
                   std::function<void(const SlotReply& aReply)> aAnswered) override
  {
    ++this->requests;
    std::this_thread::sleep_for(this->delay);
    SlotReply reply;
    if (this->refusalsLeft-- <= 0) {
      reply = { SlotAnswer::Granted, this->endpoint };
    }
    static_cast<void>(aRequest);
    aAnswered(reply);
  }

  void Notify(const SlotMessage& aUpdate) override
  {
    this->completed += aUpdate.action == SlotAction::Complete ? 1 : 0;
  }

  Milliseconds delay{ 0 };    ///< Of each reply.
  std::uint64_t endpoint = 0; ///< At which slots are granted.
  std::atomic<int> requests{ 0 };
  std::atomic<int> completed{ 0 };

private:
  std::atomic<int> refusalsLeft;
};

/// Publishes that the requests of the service are queued.
void
QueueRequests(RelayFixture& aRelay, FakeOwners& aOwners)
{
  const FleetSnapshotPtr fleet = aRelay.fleet.Get();
  aOwners.endpoint = EndpointKeyOf(fleet->endpoints.front());
  aRelay.service.SetSlotSource(aOwners);
  aRelay.market.queuePools.Publish(std::make_shared<const QueuePools>(
    *fleet, QueuePoolSettings{}, [](std::string_view) { return true; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayQueueOwnerTests)

/// Guards against refused requests while daemons are switched to queues one by one: the owners of a pool may be daemons
/// that do not queue yet, or of a release that does not know the message.
BOOST_AUTO_TEST_CASE(RequestIsSentWithoutASlotIfNoOwnerGivesOutSlots)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("hi")); });
  FakeOwners owners(1'000'000);
  RelayFixture relay({ &server });
  QueueRequests(relay, owners);
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  BOOST_TEST(relay.observer.sent == 1);
  BOOST_TEST(owners.requests >= 2);
  BOOST_TEST(owners.completed == 0);
}

/// Guards against requests that pass the queue by while its owner changes.
BOOST_AUTO_TEST_CASE(RequestGetsASlotIfAnOwnerGivesOutSlotsSoonAfter)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("hi")); });
  FakeOwners owners(2);
  RelayFixture relay({ &server });
  QueueRequests(relay, owners);
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  BOOST_TEST(owners.requests == 3);
  BOOST_TEST(owners.completed == 1);
}

/// Guards against refused requests of a daemon that is cut off from the owners: each reply took as long as the timeouts
/// of both, and the request asked until it had waited too long.
BOOST_AUTO_TEST_CASE(RequestIsSentWithoutASlotIfNoOwnerReplies)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("hi")); });
  FakeOwners owners(1'000'000);
  owners.delay = Milliseconds(500);
  RelayFixture relay({ &server });
  QueueRequests(relay, owners);
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  BOOST_TEST(owners.requests == 1);
}

BOOST_AUTO_TEST_SUITE_END()
