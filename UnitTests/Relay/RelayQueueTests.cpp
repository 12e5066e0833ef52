#include "UnitTests/Relay/RelayFixture.h"

#include <algorithm>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kShortWork{ 60 };
constexpr Milliseconds kLongWork{ 400 };

/// An endpoint that takes a while for each request, and counts those that it has at the same time.
class SlowServer
{
public:
  explicit SlowServer(Milliseconds aWork = kShortWork)
    : work(aWork)
  {
  }

  [[nodiscard]] const ScriptedServer& Server() const { return this->server; }
  [[nodiscard]] std::size_t Received() const { return this->server.Requests().size(); }
  [[nodiscard]] int Highest() const { return this->highest; }

private:
  Script Answer()
  {
    const int now = ++this->running;
    int known = this->highest;
    while (known < now && !this->highest.compare_exchange_weak(known, now)) {
    }
    std::this_thread::sleep_for(this->work);
    --this->running;
    return Send(MakeResponse("hi"));
  }

  Milliseconds work;
  std::atomic<int> running{ 0 };
  std::atomic<int> highest{ 0 };
  ScriptedServer server{ [this](const std::string&) { return this->Answer(); } };
};

/// Publishes that each endpoint has that many slots, and that its requests are queued.
void
PublishPools(RelayFixture& aRelay, int aSlots, int aSlotsPerPool = 16)
{
  auto snapshot = std::make_shared<FleetSnapshot>(*aRelay.fleet.Get());
  for (Endpoint& endpoint : snapshot->endpoints) {
    endpoint.sequences = aSlots;
  }
  aRelay.fleet.Publish(snapshot);
  aRelay.market.ApplyFleet(*snapshot);
  aRelay.market.queuePools.Publish(std::make_shared<const QueuePools>(
    *snapshot, QueuePoolSettings{ aSlotsPerPool }, [](std::string_view) { return true; }));
}

bool
AwaitUntil(const std::function<bool()>& aCondition)
{
  for (int round = 0; round < 500 && !aCondition(); ++round) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return aCondition();
}

int
CountServed(std::vector<TestCaller>& aCallers)
{
  return static_cast<int>(std::count_if(aCallers.begin(), aCallers.end(), [](TestCaller& aEach) {
    return aEach.Wait().reply.has_value();
  }));
}

/// Replies as the test says, and records what it was asked.
class RecordingSlotSource final : public SlotSource
{
public:
  void RequestSlot(const SlotMessage& aRequest,
                   std::function<void(const SlotReply& aReply)> aAnswered) override
  {
    const std::lock_guard lock(this->mutex);
    this->requests.push_back(aRequest);
    this->replies.emplace_back(
      [reply = this->answer, delay = this->delay, answered = std::move(aAnswered)] {
        std::this_thread::sleep_for(delay);
        answered(reply);
      });
  }

  void Notify(const SlotMessage& aUpdate) override
  {
    const std::lock_guard lock(this->mutex);
    this->updates.push_back(aUpdate);
  }

  [[nodiscard]] std::vector<SlotMessage> Requests()
  {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

  [[nodiscard]] std::vector<SlotMessage> Updates()
  {
    const std::lock_guard lock(this->mutex);
    return this->updates;
  }

  /// Waits for all replies.
  ~RecordingSlotSource() override
  {
    for (std::thread& reply : this->replies) {
      reply.join();
    }
  }

  SlotReply answer{ SlotAnswer::Refused }; ///< To all requests, as is the next.
  Milliseconds delay{ 0 };                 ///< Before the reply.

private:
  std::mutex mutex; ///< Guards the next three.
  std::vector<std::thread> replies;
  std::vector<SlotMessage> requests;
  std::vector<SlotMessage> updates;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayQueueTests)

/// Guards against requests that pile up at endpoints: they wait there in an order that nobody chose, and time out.
BOOST_AUTO_TEST_CASE(EndpointsAreSentNoMoreAtOnceThanTheyHaveSlots)
{
  constexpr int kSlots = 2;
  SlowServer first;
  SlowServer second;
  RelayFixture relay({ &first.Server(), &second.Server() });
  PublishPools(relay, kSlots);
  std::vector<TestCaller> callers(16);
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::Idempotent, false, Seconds(5));
  }
  BOOST_TEST(CountServed(callers) == 16);
  BOOST_TEST(first.Highest() <= kSlots);
  BOOST_TEST(second.Highest() <= kSlots);
  BOOST_TEST(first.Received() + second.Received() == 16U);
}

/// The same where the endpoints are divided into several pools.
BOOST_AUTO_TEST_CASE(EndpointsOfSeveralPoolsAreSentNoMoreAtOnceThanTheyHaveSlots)
{
  constexpr int kSlots = 2;
  SlowServer servers[4];
  RelayFixture relay(
    { &servers[0].Server(), &servers[1].Server(), &servers[2].Server(), &servers[3].Server() });
  PublishPools(relay, kSlots, kSlots);
  BOOST_TEST(relay.market.queuePools.Get()->PoolsOf("s").size() == 4U);
  std::vector<TestCaller> callers(24);
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::Idempotent, false, Seconds(5));
  }
  BOOST_TEST(CountServed(callers) == 24);
  for (const SlowServer& server : servers) {
    BOOST_TEST(server.Highest() <= kSlots);
  }
}

/// Guards against requests that are kept until their deadline although they will not be served by then, and against a refused
/// request that an endpoint runs nevertheless.
BOOST_AUTO_TEST_CASE(RequestThatCannotBeServedInTimeIsRefusedAtOnceAndNotSent)
{
  SlowServer server(kLongWork);
  RelayFixture relay({ &server.Server() });
  PublishPools(relay, 1);
  // Shows how long a request takes
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  TestCaller running;
  relay.Submit(running, RelayKind::NonIdempotent, false, Seconds(5));
  BOOST_TEST_REQUIRE(AwaitUntil([&] { return server.Received() == 2U; }));
  const TimePoint askedAt = relay.clock.Now();
  const Received refused = relay.SendRequest(RelayKind::Idempotent, false, Milliseconds(300));
  BOOST_TEST(ToSeconds(relay.clock.Now() - askedAt) < 0.1);
  BOOST_TEST_REQUIRE(refused.error.has_value());
  BOOST_TEST((refused.error->kind == ErrorKind::Overloaded));
  BOOST_TEST((refused.error->ran == Ran::No));
  BOOST_TEST_REQUIRE(refused.error->retryAfter.has_value());
  BOOST_TEST((*refused.error->retryAfter >= RelaySettings{}.retryAfterFloor));
  BOOST_TEST(running.Wait().reply.has_value());
  std::this_thread::sleep_for(kShortWork);
  BOOST_TEST(server.Received() == 2U);
}

/// Guards against a slot that is kept for a caller that has gone, and a request that is sent for nobody.
BOOST_AUTO_TEST_CASE(CallerThatLeavesGivesItsTurnBack)
{
  SlowServer server(kLongWork);
  RelayFixture relay({ &server.Server() });
  PublishPools(relay, 1);
  TestCaller running;
  TestCaller leaving;
  TestCaller next;
  relay.Submit(running, RelayKind::Idempotent, false, Seconds(5));
  BOOST_TEST_REQUIRE(AwaitUntil([&] { return server.Received() == 1U; }));
  relay.Submit(leaving, RelayKind::Idempotent, false, Seconds(5));
  relay.Submit(next, RelayKind::Idempotent, false, Seconds(5));
  leaving.disconnected = true;
  const TimePoint askedAt = relay.clock.Now();
  BOOST_TEST(leaving.Wait().aborted);
  BOOST_TEST(next.Wait().reply.has_value());
  // Its turn came when the running request had ended
  BOOST_TEST(ToSeconds(relay.clock.Now() - askedAt) < 2.5 * ToSeconds(kLongWork));
  BOOST_TEST(running.Wait().reply.has_value());
  BOOST_TEST(server.Received() == 2U);
  BOOST_TEST(AwaitUntil([&] { return relay.market.slots.InFlight() == 0U; }));
}

/// Guards against a setting that changes deployments that have not chosen it.
BOOST_AUTO_TEST_CASE(WithoutPoolsRequestsAreSentAtOnce)
{
  SlowServer server(kLongWork);
  RelayFixture relay({ &server.Server() });
  std::vector<TestCaller> callers(4);
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::Idempotent, false, Seconds(5));
  }
  BOOST_TEST(CountServed(callers) == 4);
  BOOST_TEST(server.Highest() == 4);
  BOOST_TEST(relay.market.slots.InFlight() == 0U);
}

/// Guards against a request that goes back to the endpoint that has just failed it.
BOOST_AUTO_TEST_CASE(EndpointThatHasFailedTheRequestIsExcludedFromItsNextAttempt)
{
  const Script failure = Send(MakeResponse("no", "500 Internal Server Error"));
  // Whichever is sent the request first fails it
  const auto handler = RespondFirstThen(failure, Send(MakeResponse("hi")));
  const ScriptedServer first(handler);
  const ScriptedServer second(handler);
  RelayFixture relay({ &first, &second });
  PublishPools(relay, 2);
  const Received received = relay.SendRequest(RelayKind::Idempotent);
  BOOST_TEST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "hi");
  BOOST_TEST(first.Requests().size() == 1U);
  BOOST_TEST(second.Requests().size() == 1U);
}

/// Guards against a request that may have run and is run once more.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestWhoseConnectionBreaksIsNotSentAgain)
{
  const ScriptedServer::Handler breaks = [](const std::string&) {
    return Script{ { Kind::Reset, {} } };
  };
  const ScriptedServer first(breaks);
  const ScriptedServer second(breaks);
  RelayFixture relay({ &first, &second });
  PublishPools(relay, 2);
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_TEST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::Unknown));
  BOOST_TEST(first.Requests().size() + second.Requests().size() == 1U);
}

/// Guards against callers that slow a service down with faulty requests: the owner of the pool counted the answers as failures of
/// the endpoint, and sent it one request per second.
BOOST_AUTO_TEST_CASE(AnswerToAFaultyRequestIsNotReportedAsAFailureOfTheEndpoint)
{
  for (const auto& [status, action] :
       { std::pair("404 Not Found", SlotAction::Withdraw),
         std::pair("500 Internal Server Error", SlotAction::Fail) }) {
    const ScriptedServer server(
      [answer = MakeResponse("no", status)](const std::string&) { return Send(answer); });
    RecordingSlotSource source;
    RelayFixture relay({ &server });
    relay.service.SetSlotSource(source);
    PublishPools(relay, 1);
    const std::uint64_t key = EndpointKeyOf(relay.fleet.Get()->endpoints.front());
    source.answer = { SlotAnswer::Granted, key, 0, 0, 7 };
    BOOST_TEST(relay.SendRequest(RelayKind::NonIdempotent).reply.has_value());
    const std::vector<SlotMessage> updates = source.Updates();
    BOOST_TEST_REQUIRE(updates.size() == 1U);
    BOOST_TEST((updates.front().action == action));
  }
}

/// Guards against a request that is granted a slot again and again at an endpoint that this daemon knows to leave, while the
/// owner of the pool does not know it yet, and is refused in the end.
BOOST_AUTO_TEST_CASE(EndpointThatLeavesIsExcludedBeforeTheOwnerKnows)
{
  SlowServer first;
  SlowServer second;
  RelayFixture relay({ &first.Server(), &second.Server() });
  PublishPools(relay, 2);
  relay.MarkLeaving(first.Server().Port());
  for (int request = 0; request < 3; ++request) {
    BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  }
  BOOST_TEST(first.Received() == 0U);
  BOOST_TEST(second.Received() == 3U);
}

/// Guards against messages that grow with the service: only the endpoints of the pool that is asked matter there.
BOOST_AUTO_TEST_CASE(RequestExcludesEndpointsOfItsPoolOnly)
{
  SlowServer server;
  RecordingSlotSource source;
  const std::vector<const ScriptedServer*> endpoints(300, &server.Server());
  RelayFixture relay(endpoints);
  relay.service.SetSlotSource(source);
  PublishPools(relay, 1);
  auto snapshot = std::make_shared<FleetSnapshot>(*relay.fleet.Get());
  for (std::size_t index = 0; index < snapshot->endpoints.size(); index += 2) {
    snapshot->endpoints[index].state = EndpointState::Leaving;
  }
  relay.fleet.Publish(snapshot);
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).error.has_value());
  const QueuePoolsPtr pools = relay.market.queuePools.Get();
  BOOST_TEST_REQUIRE(!source.Requests().empty());
  for (const SlotMessage& request : source.Requests()) {
    BOOST_TEST(!request.excluded.empty());
    for (const std::uint64_t key : request.excluded) {
      BOOST_TEST(pools->PoolOf(key) == request.pool);
    }
  }
}

/// Guards against a slot that is lost, or a request that is sent, when a grant comes after the caller has gone.
BOOST_AUTO_TEST_CASE(SlotThatIsGrantedAfterTheEndOfTheRunIsGivenBack)
{
  SlowServer server;
  RecordingSlotSource source;
  RelayFixture relay({ &server.Server() });
  relay.service.SetSlotSource(source);
  PublishPools(relay, 1);
  const std::uint64_t key = EndpointKeyOf(relay.fleet.Get()->endpoints.front());
  source.answer = { SlotAnswer::Granted, key, 0, 0, 7 };
  source.delay = Milliseconds(300);
  const Received received = relay.SendRequest(RelayKind::Idempotent, false, Milliseconds(100));
  BOOST_TEST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::No));
  BOOST_TEST(AwaitUntil([&] {
    const std::vector<SlotMessage> updates = source.Updates();
    return std::any_of(updates.begin(), updates.end(), [](const SlotMessage& aEach) {
      return aEach.action == SlotAction::Withdraw && aEach.grantedBy == 7U;
    });
  }));
  BOOST_TEST(relay.market.slots.InFlight() == 0U);
  BOOST_TEST(server.Received() == 0U);
}

/// Guards against a request that is granted a slot again and again at an endpoint that this daemon does not know yet.
BOOST_AUTO_TEST_CASE(EndpointThatIsNotKnownYetIsExcludedAfterItsFirstGrant)
{
  constexpr std::uint64_t kUnknown = 12345;
  SlowServer server;
  RecordingSlotSource source;
  source.answer = { SlotAnswer::Granted, kUnknown, 0, 0, 7 };
  RelayFixture relay({ &server.Server() });
  relay.service.SetSlotSource(source);
  PublishPools(relay, 1);
  relay.firstEventTarget = Milliseconds(100);
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).error.has_value());
  const std::vector<SlotMessage> requests = source.Requests();
  BOOST_TEST_REQUIRE(requests.size() >= 2U);
  BOOST_TEST(requests[0].excluded.empty());
  BOOST_TEST((requests[1].excluded == std::vector<std::uint64_t>{ kUnknown }));
  // All of these slots are given back
  BOOST_TEST(relay.market.slots.InFlight() == 0U);
  BOOST_TEST(source.Updates().size() == requests.size());
}

/// Guards against waiting requests that take all memory of a daemon: how many wait is bounded, how large they are was not.
BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfTheBodiesOfThoseThatWaitTakeAllMemory)
{
  SlowServer server(kLongWork);
  RelaySettings settings;
  settings.maximumWaitingBytes = 100;
  RelayFixture relay({ &server.Server() }, {}, {}, nullptr, settings);
  PublishPools(relay, 1);
  relay.body.assign(80, 'x');
  TestCaller running;
  TestCaller waiting;
  relay.Submit(running, RelayKind::Idempotent, false, Seconds(5));
  BOOST_TEST_REQUIRE(AwaitUntil([&] { return server.Received() == 1U; }));
  relay.Submit(waiting, RelayKind::Idempotent, false, Seconds(5));
  const TimePoint askedAt = relay.clock.Now();
  const Received refused = relay.SendRequest(RelayKind::Idempotent);
  BOOST_TEST(ToSeconds(relay.clock.Now() - askedAt) < 0.1);
  BOOST_TEST_REQUIRE(refused.error.has_value());
  BOOST_TEST((refused.error->kind == ErrorKind::Overloaded));
  BOOST_TEST((refused.error->ran == Ran::No));
  BOOST_TEST(refused.error->retryAfter.has_value());
  BOOST_TEST(running.Wait().reply.has_value());
  BOOST_TEST(waiting.Wait().reply.has_value());
  BOOST_TEST(server.Received() == 2U);
  // The memory of the request that has waited is free again
  TestCaller next;
  TestCaller last;
  relay.Submit(next, RelayKind::Idempotent, false, Seconds(5));
  BOOST_TEST_REQUIRE(AwaitUntil([&] { return server.Received() == 3U; }));
  relay.Submit(last, RelayKind::Idempotent, false, Seconds(5));
  BOOST_TEST(next.Wait().reply.has_value());
  BOOST_TEST(last.Wait().reply.has_value());
}

/// Guards against large requests that are refused although a slot is free.
BOOST_AUTO_TEST_CASE(RequestThatIsTooLargeToWaitIsServedIfASlotIsFree)
{
  SlowServer server;
  RelaySettings settings;
  settings.maximumWaitingBytes = 100;
  RelayFixture relay({ &server.Server() }, {}, {}, nullptr, settings);
  PublishPools(relay, 1);
  relay.body.assign(101, 'x');
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
}

/// Guards against a request that no owner answers: it is sent without a slot within its target, not kept or refused.
BOOST_AUTO_TEST_CASE(RequestThatNoOwnerAnswersIsSentWithinItsTarget)
{
  SlowServer server;
  RecordingSlotSource source;
  RelayFixture relay({ &server.Server() });
  source.answer = { SlotAnswer::NotOwner };
  relay.service.SetSlotSource(source);
  PublishPools(relay, 1);
  relay.firstEventTarget = Milliseconds(300);
  const TimePoint askedAt = relay.clock.Now();
  const Received received = relay.SendRequest(RelayKind::Idempotent);
  BOOST_TEST(ToSeconds(relay.clock.Now() - askedAt) < 0.3);
  BOOST_TEST(received.reply.has_value());
  BOOST_TEST(server.Received() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
