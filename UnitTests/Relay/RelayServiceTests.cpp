#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace lagoonward {

/// Prints the parameter of data test cases.
std::ostream&
operator<<(std::ostream& aStream, RelayKind aKind)
{
  return aStream << static_cast<int>(aKind);
}

} // namespace lagoonward

namespace {

constexpr std::string_view kAccount = "account";

/// A relay whose account limit is owned by other daemons, reachable only through a token source.
struct LimitedRelayFixture
{
  /// Grants or refuses tokens when the test says so.
  class FakeTokenSource final : public LimitTokenSource
  {
  public:
    explicit FakeTokenSource(LimitedRelayFixture& aOwner)
      : owner(aOwner)
    {
    }

    void RequestTokens(const LimitTokenRequest& aRequest, std::function<void()> aOnSettled) override
    {
      const std::lock_guard lock(this->mutex);
      this->request = aRequest;
      this->onSettled = std::move(aOnSettled);
      this->requestArrived.notify_all();
    }

    void ReportOverdraft(const LimitTokenRequest& aRequest) override
    {
      const std::lock_guard lock(this->mutex);
      this->overdraft += aRequest.neededTokens;
    }

    [[nodiscard]] double Overdraft()
    {
      const std::lock_guard lock(this->mutex);
      return this->overdraft;
    }

    /// Waits for a request for tokens and replies to it.
    void Reply(const std::function<LimitTokenGrant(const LimitTokenRequest&)>& aMakeGrant)
    {
      std::unique_lock lock(this->mutex);
      BOOST_TEST_REQUIRE(this->requestArrived.wait_for(
        lock, Seconds(10), [this] { return this->onSettled != nullptr; }));
      this->owner.relay.market.admission.OnTokenGrant(this->request, aMakeGrant(this->request));
      std::exchange(this->onSettled, nullptr)();
    }

  private:
    LimitedRelayFixture& owner;
    std::mutex mutex;
    std::condition_variable requestArrived;
    LimitTokenRequest request;
    double overdraft = 0;
    std::function<void()> onSettled;
  };

  explicit LimitedRelayFixture(const ScriptedServer::Handler& aHandler = RespondAlike,
                               bool aKnowsDaemonCount = true)
    : server(aHandler)
  {
    this->relay.market.admission.SetReserveRoles([](std::uint64_t) { return ReserveRole::None; });
    if (aKnowsDaemonCount) {
      this->relay.market.admission.SetDaemonCount(10);
    }
    this->relay.service.SetTokenSource(this->tokenSource);
  }

  static MarketSettings PooledSettings()
  {
    MarketSettings settings;
    settings.admission.pooled = true;
    return settings;
  }

  static std::vector<ManifestClient> Clients()
  {
    ManifestClient client;
    client.name = kAccount;
    client.tokensPerSecond = 1;
    client.burstTokens = 1000;
    return { client };
  }

  static Script RespondAlike(const std::string& /*aRequest*/)
  {
    return { { Kind::Send,
               "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 2\r\n\r\nhi" } };
  }

  const ScriptedServer server;
  RelayFixture relay{ { &server }, PooledSettings(), Clients() };
  FakeTokenSource tokenSource{ *this };
};

/// Returns when the service has run all tasks that were posted to its loop before.
void
AwaitPostedTasks(RelayFixture& aRelay)
{
  std::promise<void> reached;
  aRelay.service.Loop().Post([&reached] { reached.set_value(); });
  reached.get_future().wait();
}

void
CheckRefusedAtTheShutdown(TestCaller& aCaller)
{
  const Received received = aCaller.Wait();
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->kind == ErrorKind::Draining));
  BOOST_TEST((received.error->ran == Ran::No));
}

constexpr std::string_view kCrashingBody = "crash";

bool
IsCrashing(const std::string& aRequest)
{
  return aRequest.ends_with(kCrashingBody);
}

/// An endpoint that crashes after the start of its response to a request with kCrashingBody and responds to all others.
ScriptedServer::Handler
CrashOrAnswer(const std::string& aStart)
{
  return [aStart](const std::string& aRequest) -> Script {
    if (!IsCrashing(aRequest)) {
      return Send(MakeResponse("hi"));
    }
    return { { Kind::Send, aStart },
             { Kind::Wait, {}, Milliseconds(20) },
             { Kind::ResetAndStopListening } };
  };
}

/// Endpoints that stay down after a request with kCrashingBody.
struct CrashingEndpoints
{
  explicit CrashingEndpoints(const std::string& aStart = kStreamHead)
  {
    for (int index = 0; index < 12; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>(CrashOrAnswer(aStart)));
      this->endpoints.push_back(this->servers.back().get());
    }
  }

  /// How many times that request reached an endpoint.
  [[nodiscard]] std::size_t Crashes() const
  {
    std::size_t crashes = 0;
    for (const ScriptedServer* endpoint : this->endpoints) {
      const auto requests = endpoint->Requests();
      crashes +=
        static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), IsCrashing));
    }
    return crashes;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<const ScriptedServer*> endpoints;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServiceTests)

BOOST_AUTO_TEST_CASE(ForwardsRequestAndResponseUnchanged)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("hello")); });
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "hello");
  const std::string request = server.Requests().at(0);
  BOOST_TEST(request.starts_with("POST /a/./b?x=%41 HTTP/1.1\r\n"));
  BOOST_TEST(request.ends_with("\r\n\r\nbody"));
  BOOST_TEST(request.find("Endpoint: e0\r\n") != std::string::npos);
  BOOST_TEST(relay.observer.started == 1);
}

BOOST_AUTO_TEST_CASE(RequestAboveTheLocalTokensWaitsForATokenGrant)
{
  LimitedRelayFixture limited;
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       400);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  BOOST_TEST(caller.Wait().reply.has_value());
  // Small requests succeed: one after a grant of the wanted amount, the next from the tokens left over from it
  TestCaller small;
  limited.relay.Submit(small, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       1);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.preferredTokens, 0 };
  });
  BOOST_TEST(small.Wait().reply.has_value());
  TestCaller next;
  limited.relay.Submit(next, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       0.05);
  BOOST_TEST(next.Wait().reply.has_value());
}

BOOST_AUTO_TEST_CASE(RequestWithoutATokenGrantIsRefusedWithRetryAfter)
{
  LimitedRelayFixture limited;
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       400);
  limited.tokenSource.Reply([](const LimitTokenRequest&) { return LimitTokenGrant{ 0, 3 }; });
  const Received refused = caller.Wait();
  BOOST_REQUIRE(refused.error.has_value());
  BOOST_TEST((refused.error->kind == ErrorKind::ClientOverLimit));
  BOOST_TEST((refused.error->ran == Ran::No));
  BOOST_TEST((refused.error->retryAfter >= Milliseconds(2000)));
  BOOST_TEST(limited.server.Requests().empty());
  // The token source is not asked again within the retry time, so the next request is refused at once
  TestCaller again;
  limited.relay.Submit(again, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       400);
  BOOST_TEST(again.Wait().error.has_value());
}

/// Guards against a stream that is lost because its account is at its limit for a moment, when its caller takes it up.
BOOST_AUTO_TEST_CASE(ContinuedStreamWaitsForTokensOfItsLimit)
{
  LimitedRelayFixture limited;
  limited.relay.lastEventId = "3";
  limited.relay.eventIntervalTarget = Seconds(2);
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::Stream, true, Seconds(5), std::string(kAccount), 3);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    BOOST_TEST((aRequest.use == LimitTokenUse::Continuation));
    return LimitTokenGrant{ 0, 0.05 };
  });
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  // It is past the limit then; its origin is not known in this test
  const Received received = caller.Wait();
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->kind == ErrorKind::UnknownOrigin));
}

// Guards against a request that gets no answer, or is sent and gets none, because the limit of its account has not been
// decided when the daemon shuts down
BOOST_AUTO_TEST_CASE(RequestThatWaitsForTokensIsRefusedAtTheShutdown)
{
  LimitedRelayFixture limited;
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       400);
  limited.relay.service.AbandonAll();
  CheckRefusedAtTheShutdown(caller);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  AwaitPostedTasks(limited.relay);
  BOOST_TEST(limited.relay.observer.sent == 0);
  BOOST_TEST(limited.relay.observer.ended == 1);
}

// The same for a daemon that has just started, and for a stream that is continued
BOOST_AUTO_TEST_CASE(RequestsThatWaitForTheirLimitAreRefusedAtTheShutdown)
{
  LimitedRelayFixture starting(LimitedRelayFixture::RespondAlike, false);
  starting.relay.firstEventTarget = Seconds(60);
  TestCaller first;
  starting.relay.Submit(first, RelayKind::NonIdempotent, false, Seconds(60), std::string(kAccount),
                        1);
  starting.relay.service.AbandonAll();
  CheckRefusedAtTheShutdown(first);

  LimitedRelayFixture limited;
  limited.relay.lastEventId = "3";
  limited.relay.eventIntervalTarget = Seconds(60);
  TestCaller continued;
  limited.relay.Submit(continued, RelayKind::Stream, true, Seconds(60), std::string(kAccount), 3);
  limited.tokenSource.Reply([](const LimitTokenRequest&) { return LimitTokenGrant{ 0, 0.05 }; });
  AwaitPostedTasks(limited.relay);
  limited.relay.service.AbandonAll();
  CheckRefusedAtTheShutdown(continued);
}

// Guards against a request that is sent to an endpoint when its response can no longer arrive
BOOST_AUTO_TEST_CASE(RequestThatIsSubmittedAfterTheShutdownIsRefused)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("late")); });
  RelayFixture relay({ &server });
  relay.service.AbandonAll();
  TestCaller caller;
  relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5));
  CheckRefusedAtTheShutdown(caller);
  BOOST_TEST(server.Requests().empty());
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsSentOnceWhenItsResponseIsLost)
{
  for (const Script& loss : { Script{ { Kind::Reset } }, Script{ { Kind::Close } },
                              Script{ { Kind::Send, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n"
                                                    "Content-Length: 9\r\n\r\nhalf" },
                                      { Kind::Close } } }) {
    const ScriptedServer server(RespondFirstThen(loss, Send(MakeResponse("second"))));
    const ScriptedServer other([](const std::string&) { return Send(MakeResponse("other")); });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(RelayKind::NonIdempotent);
    BOOST_REQUIRE(received.error.has_value());
    BOOST_TEST((received.error->kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST((received.error->ran == Ran::Unknown));
    BOOST_TEST(server.Requests().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNotResentAfterAResetOfAReusedConnection)
{
  // The first response keeps the connection open; the server reads the second request on it and then resets it
  const ScriptedServer server(RespondFirstThen(Send(MakeResponse("first")), { { Kind::Reset } }));
  RelayFixture relay({ &server });
  BOOST_TEST(relay.SendRequest(RelayKind::NonIdempotent).reply->body == "first");
  const Received second = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(second.error.has_value());
  BOOST_TEST(server.Requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(RetriesOnAnotherEndpointWhenProvenNotRun)
{
  const ScriptedServer overloaded([](const std::string&) {
    return Send(MakeResponse("", "503 Service Unavailable", "Id: r1\r\nNot-Run: 1\r\n"));
  });
  const ScriptedServer available([](const std::string&) { return Send(MakeResponse("ran")); });
  RelayFixture relay({ &overloaded, &available });
  for (int turn = 0; turn < 8; ++turn) {
    BOOST_TEST(relay.SendRequest(RelayKind::NonIdempotent).reply->body == "ran");
  }
}

BOOST_AUTO_TEST_CASE(DemandIsReportedOncePerRequestDespiteResends)
{
  const ScriptedServer overloaded([](const std::string&) {
    return Send(MakeResponse("", "503 Service Unavailable", "Id: r1\r\nNot-Run: 1\r\n"));
  });
  const ScriptedServer available([](const std::string&) { return Send(MakeResponse("ran")); });
  RelayFixture relay({ &overloaded, &available });
  constexpr int kRequests = 8;
  for (int turn = 0; turn < kRequests; ++turn) {
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
  }
  BOOST_TEST(relay.observer.sent > kRequests);
  BOOST_TEST(relay.observer.sendsWithDemand == kRequests);
}

BOOST_AUTO_TEST_CASE(ErrorStatesNotRunOnlyWithProof)
{
  const ScriptedServer overloaded([](const std::string&) {
    return Send(MakeResponse("", "503 Service Unavailable", "Id: r1\r\nNot-Run: 1\r\n"));
  });
  RelayFixture refusing({ &overloaded });
  const Received refused = refusing.SendRequest(RelayKind::NonIdempotent);
  BOOST_TEST((refused.error->ran == Ran::No));
  BOOST_TEST(refused.error->retryAfter.has_value());

  const ScriptedServer ambiguous([](const std::string&) {
    return Send(MakeResponse("", "503 Service Unavailable", "Id: r1\r\n"));
  });
  RelayFixture unknown({ &ambiguous });
  BOOST_TEST((unknown.SendRequest(RelayKind::NonIdempotent).error->ran == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(RejectsTheResponseToAnotherRequest)
{
  for (const std::string& head : { std::string("Id: r2\r\nMark: m\r\n"), std::string("Id: r1\r\n"),
                                   std::string("Mark: m\r\n") }) {
    const ScriptedServer server(
      [&](const std::string&) { return Send(MakeResponse("not yours", "200 OK", head)); });
    RelayFixture relay({ &server });
    BOOST_TEST(!relay.SendRequest(RelayKind::NonIdempotent).reply.has_value());
  }
}

BOOST_AUTO_TEST_CASE(BytesAfterAResponseAreNotTakenForTheNextResponse)
{
  const ScriptedServer server(RespondFirstThen(Send(MakeResponse("first") + MakeResponse("extra")),
                                               Send(MakeResponse("second"))));
  RelayFixture relay({ &server });
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply->body == "first");
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply->body == "second");
}

BOOST_AUTO_TEST_CASE(ResponseWithoutLengthIsCompleteOnlyAfterACleanClose)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nConnection: close\r\n\r\n";
  const ScriptedServer cleanlyClosed([&](const std::string&) {
    return Script{ { Kind::Send, head + "all" }, { Kind::Close } };
  });
  RelayFixture complete({ &cleanlyClosed });
  BOOST_TEST(complete.SendRequest(RelayKind::NonIdempotent).reply->body == "all");
  const ScriptedServer broken([&](const std::string&) {
    return Script{ { Kind::Send, head + "al" },
                   { Kind::Wait, {}, Milliseconds(50) },
                   { Kind::Reset } };
  });
  RelayFixture cut({ &broken });
  BOOST_TEST(cut.SendRequest(RelayKind::NonIdempotent).error.has_value());
}

BOOST_AUTO_TEST_CASE(ResumableStreamContinuesAfterItsLastEvent)
{
  // The first endpoint used breaks its stream off; the other one repeats event 1, which the caller must not get twice
  const auto script = RespondFirstThen(
    { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\nda") },
      { Kind::Wait, {}, Milliseconds(50) },
      { Kind::Reset } },
    Send(kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + "0\r\n\r\n"));
  const ScriptedServer left(script);
  const ScriptedServer right(script);
  RelayFixture relay({ &left, &right });
  const Received received = relay.SendRequest(RelayKind::Stream, true);
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(left.Requests().size() == 1U);
  BOOST_REQUIRE_EQUAL(right.Requests().size(), 1U);
  const bool resumes = left.Requests().at(0).find("After: 1\r\n") != std::string::npos ||
                       right.Requests().at(0).find("After: 1\r\n") != std::string::npos;
  BOOST_TEST(resumes);
}

BOOST_AUTO_TEST_CASE(StreamIsMovedOffALeavingEndpoint)
{
  // The stream is not resumable, so it can continue only from its copied state
  std::atomic<int> begun{ 0 };
  const auto script = [&](const std::string& aRequest) -> Script {
    if (aRequest.starts_with("POST /move ")) {
      return Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nh-1");
    }
    if (aRequest.find("/h-1\r\n") != std::string::npos) {
      return Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
    ++begun;
    return { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
             { Kind::Wait, {}, Milliseconds(600) },
             { Kind::Close } };
  };
  const ScriptedServer left(script);
  const ScriptedServer right(script);
  RelayFixture relay({ &left, &right });
  TestCaller caller;
  relay.Submit(caller, RelayKind::Stream, false, Seconds(5));
  while (relay.observer.started == 0) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  relay.MarkLeaving(left.Requests().empty() ? right.Port() : left.Port());
  const Received received = caller.Wait();
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(begun == 1);
  BOOST_TEST(relay.observer.moved == 1);
}

// Guards against requests that reach an endpoint later than allowed after it announced that it leaves. The daemon did
// not recheck its choice once the connection was open; on a busy host a request arrived 1.3 s after the choice.
BOOST_AUTO_TEST_CASE(RequestIsNotSentToAnEndpointThatLeavesAfterItsSelection)
{
  const ScriptedServer left([](const std::string&) { return Send(MakeResponse("left")); });
  const ScriptedServer right([](const std::string&) { return Send(MakeResponse("right")); });
  RelayFixture relay({ &left, &right });
  std::string leaving;
  relay.observer.onSent = [&](std::string_view aEndpoint, int aSend) {
    if (leaving.empty()) {
      leaving = aEndpoint;
      BOOST_TEST(aSend == 1);
      relay.MarkLeaving(aEndpoint == "e0" ? left.Port() : right.Port());
    }
  };
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == (leaving == "e0" ? "right" : "left"));
  BOOST_TEST((leaving == "e0" ? left : right).Requests().empty());
}

// Guards against requests that reach endpoints that have left: a daemon that had stood still sent on its old snapshot.
BOOST_AUTO_TEST_CASE(RequestWaitsForACurrentSnapshot)
{
  const ScriptedServer left([](const std::string&) { return Send(MakeResponse("left")); });
  const ScriptedServer right([](const std::string&) { return Send(MakeResponse("right")); });
  SystemClock clock;
  SnapshotGuardSettings settings;
  settings.refreshTimeout = Seconds(5);
  SnapshotGuard guard(settings, clock);
  guard.SetAsOf(clock.BootNow() - Seconds(3));
  RelayFixture relay({ &left, &right }, {}, {}, &guard);
  TestCaller caller;
  relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5));
  std::this_thread::sleep_for(Milliseconds(50));
  BOOST_TEST(relay.observer.sent == 0);
  relay.MarkLeaving(left.Port());
  guard.SetAsOf(clock.BootNow());
  const Received received = caller.Wait();
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "right");
}

/// A connection that is opened while the process stands still.
BOOST_AUTO_TEST_CASE(RequestIsSelectedAnewIfTheSnapshotGrowsOldBeforeItIsSent)
{
  const ScriptedServer left([](const std::string&) { return Send(MakeResponse("left")); });
  const ScriptedServer right([](const std::string&) { return Send(MakeResponse("right")); });
  SystemClock clock;
  SnapshotGuardSettings settings;
  settings.refreshTimeout = Seconds(5);
  SnapshotGuard guard(settings, clock);
  guard.SetAsOf(clock.BootNow() - settings.maximumAge + Milliseconds(100));
  RelayFixture relay({ &left, &right }, {}, {}, &guard);
  std::string selected;
  relay.observer.onSent = [&](std::string_view aEndpoint, int) {
    if (selected.empty()) {
      selected = aEndpoint;
      std::this_thread::sleep_for(Milliseconds(150));
    }
  };
  TestCaller caller;
  relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5));
  std::this_thread::sleep_for(Milliseconds(250));
  BOOST_TEST(!selected.empty());
  BOOST_TEST(left.Requests().size() + right.Requests().size() == 0U);
  relay.MarkLeaving(selected == "e0" ? left.Port() : right.Port());
  guard.SetAsOf(clock.BootNow());
  const Received received = caller.Wait();
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == (selected == "e0" ? "right" : "left"));
}

BOOST_AUTO_TEST_CASE(RequestIsRetriedOrFailedAtOnceWhenItsEndpointRestarts)
{
  for (const bool resumable : { true, false }) {
    // The connection to the former process stays open and sends no data
    const auto script =
      RespondFirstThen({ { Kind::Wait, {}, Seconds(8) }, { Kind::Close } },
                       Send(kStreamHead + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"));
    const ScriptedServer left(script);
    const ScriptedServer right(script);
    RelayFixture relay({ &left, &right });
    TestCaller caller;
    relay.Submit(caller, RelayKind::Stream, resumable, Seconds(8));
    while (left.Requests().empty() && right.Requests().empty()) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    const bool isLeft = !left.Requests().empty();
    const TimePoint restarted = relay.clock.Now();
    relay.MarkRestarted(isLeft ? left.Port() : right.Port());
    std::this_thread::sleep_for(Milliseconds(50));
    // A resumable stream is sent to the other endpoint at once. A non-resumable one fails, as it may have run
    BOOST_TEST((isLeft ? right : left).Requests().size() == (resumable ? 1U : 0U));
    if (!resumable) {
      const Received received = caller.Wait();
      BOOST_REQUIRE(received.error.has_value());
      BOOST_TEST((received.error->ran == Ran::Unknown));
      BOOST_TEST((relay.clock.Now() - restarted < Seconds(2)));
    }
  }
}

BOOST_AUTO_TEST_CASE(StreamContinuesAtItsEndpointWhenTheMoveFails)
{
  const auto script = [](const std::string& aRequest) -> Script {
    if (aRequest.starts_with("POST /move ")) {
      return Send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    }
    return { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
             { Kind::Wait, {}, Milliseconds(400) },
             { Kind::Send, Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } };
  };
  const ScriptedServer left(script);
  const ScriptedServer right(script);
  RelayFixture relay({ &left, &right });
  TestCaller caller;
  relay.Submit(caller, RelayKind::Stream, false, Seconds(5));
  while (relay.observer.started == 0) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  relay.MarkLeaving(left.Requests().empty() ? right.Port() : left.Port());
  const Received received = caller.Wait();
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(relay.observer.moved == 0);
}

BOOST_AUTO_TEST_CASE(NonResumableStreamIsAbortedWhenItsConnectionBreaks)
{
  const ScriptedServer resetting([](const std::string&) {
    return Script{ { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
                   { Kind::Wait, {}, Milliseconds(50) },
                   { Kind::Reset } };
  });
  RelayFixture relay({ &resetting });
  const Received received = relay.SendRequest(RelayKind::Stream, false);
  BOOST_TEST(received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\n");
  BOOST_TEST(resetting.Requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(StreamThatEndsWithinAnEventIsAborted)
{
  const ScriptedServer truncating([](const std::string&) {
    return Send(kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\nda") + "0\r\n\r\n");
  });
  RelayFixture relay({ &truncating });
  BOOST_TEST(relay.SendRequest(RelayKind::Stream, false).aborted);
}

BOOST_AUTO_TEST_CASE(ConnectionToTheEndpointIsClosedWhenTheCallerDisconnects)
{
  const ScriptedServer slow([](const std::string&) {
    return Script{ { Kind::Wait, {}, Seconds(8) } };
  });
  RelayFixture relay({ &slow });
  TestCaller caller;
  relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(10));
  while (slow.Requests().empty()) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  caller.disconnected = true;
  const auto disconnectedAt = std::chrono::steady_clock::now();
  while (slow.AbandonedScripts() == 0 &&
         std::chrono::steady_clock::now() - disconnectedAt < Seconds(5)) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  BOOST_TEST(slow.AbandonedScripts() == 1);
  BOOST_TEST(caller.Wait().aborted);
}

BOOST_AUTO_TEST_CASE(RequestFailsAtTheTimeoutOfItsRoute)
{
  const ScriptedServer slow([](const std::string&) {
    return Script{ { Kind::Wait, {}, Seconds(8) } };
  });
  RelayFixture relay({ &slow });
  const auto begun = std::chrono::steady_clock::now();
  const Received received = relay.SendRequest(RelayKind::NonIdempotent, false, Milliseconds(300));
  BOOST_TEST((received.error->kind == ErrorKind::DeadlineExceeded));
  BOOST_TEST((received.error->ran == Ran::Unknown));
  BOOST_TEST((std::chrono::steady_clock::now() - begun < Seconds(4)));
}

BOOST_AUTO_TEST_CASE(ForwardsTheFailureResponseOfAnEndpoint)
{
  const ScriptedServer fails(
    [](const std::string&) { return Send(MakeResponse("why", "500 Internal Server Error")); });
  RelayFixture relay({ &fails });
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->status == 500);
  BOOST_TEST(received.reply->body == "why");
}

/// Load pattern: endpoints crash under a client at its limit. Guards against a limit that counts a request once although
/// two endpoints have run it.
BOOST_AUTO_TEST_CASE(EachRunOfARequestIsChargedToItsAccountsLimit)
{
  const std::string answer = kStreamHead + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
  LimitedRelayFixture limited(
    RespondFirstThen({ { Kind::Send, kStreamHead }, { Kind::Reset } }, { { Kind::Send, answer } }));
  constexpr double kTokens = 200;
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::Stream, true, Seconds(5), std::string(kAccount), kTokens);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  BOOST_TEST(caller.Wait().streamed);
  BOOST_TEST(limited.relay.observer.sent == 2);
  // Nothing was left of the local share
  BOOST_TEST(limited.tokenSource.Overdraft() == kTokens, boost::test_tools::tolerance(1e-3));
}

/// Load pattern: all daemons have just started, and clients send at once. Guards against a daemon that refuses limited
/// accounts because it does not know yet how many daemons share the limit.
BOOST_AUTO_TEST_CASE(RequestOfALimitedAccountWaitsForTheNumberOfDaemons)
{
  LimitedRelayFixture limited(LimitedRelayFixture::RespondAlike, false);
  // Long enough for the busiest machine
  limited.relay.firstEventTarget = Seconds(40);
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(20), std::string(kAccount),
                       200);
  // The loop has looked at the request once when it runs this
  std::promise<void> seen;
  limited.relay.service.Loop().Post([&seen] { seen.set_value(); });
  seen.get_future().wait();
  limited.relay.market.admission.SetDaemonCount(10);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  BOOST_TEST(caller.Wait().reply.has_value());
}

/// An endpoint that proves that it did not run a request leaves the first charge for the endpoint that does.
BOOST_AUTO_TEST_CASE(RefusalOfAnEndpointIsNotCharged)
{
  LimitedRelayFixture limited(
    RespondFirstThen(Send(MakeResponse("", "503 Service Unavailable", "Id: r1\r\nNot-Run: 1\r\n")),
                     Send(MakeResponse("ran"))));
  TestCaller caller;
  limited.relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5), std::string(kAccount),
                       200);
  limited.tokenSource.Reply([](const LimitTokenRequest& aRequest) {
    return LimitTokenGrant{ aRequest.neededTokens, 0 };
  });
  BOOST_TEST(caller.Wait().reply.has_value());
  BOOST_TEST(limited.relay.observer.sent == 2);
  BOOST_TEST(limited.tokenSource.Overdraft() == 0);
}

/// Guards against one request that crashes every endpoint it runs on: sent again and again, it took down eighteen.
BOOST_DATA_TEST_CASE(RequestThatCrashedThreeEndpointsIsNotSentAgain,
                     boost::unit_test::data::make({ RelayKind::Stream, RelayKind::Idempotent }),
                     kind)
{
  const CrashingEndpoints crashing;
  RelayFixture relay(crashing.endpoints);
  for (int time = 0; time < 12; ++time) {
    static_cast<void>(relay.SendRequestWithBody(std::string(kCrashingBody), kind));
    BOOST_TEST(relay.SendRequestWithBody(fmt::format("other {}", time), kind).reply.has_value());
  }
  BOOST_TEST(crashing.Crashes() == 3U);
  const Received refused = relay.SendRequestWithBody(std::string(kCrashingBody), kind);
  BOOST_REQUIRE(refused.error.has_value());
  BOOST_TEST((refused.error->kind == ErrorKind::PoisonRequest));
  BOOST_TEST((refused.error->ran == Ran::No));
  BOOST_TEST(!refused.error->retryAfter.has_value());
  BOOST_TEST(relay.SendRequestWithBody("another", kind).reply.has_value());
}

/// Guards against a request that crashes endpoints at the first event of its stream: each crash counted half, as if the
/// event had shown that the request is harmless.
BOOST_AUTO_TEST_CASE(StreamThatCrashedThreeEndpointsAtItsFirstEventIsNotSentAgain)
{
  const CrashingEndpoints crashing(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  RelayFixture relay(crashing.endpoints);
  for (int time = 0; time < 12; ++time) {
    static_cast<void>(relay.SendRequestWithBody(std::string(kCrashingBody), RelayKind::Stream));
  }
  BOOST_TEST(crashing.Crashes() == 3U);
}

/// Guards against treating a request as one that crashes endpoints when these lose responses but stay alive.
BOOST_AUTO_TEST_CASE(LostConnectionsWithoutACrashDoNotBlockARequest)
{
  const auto resetting = [](const std::string&) {
    return Script{ { Kind::Send, kStreamHead }, { Kind::Reset } };
  };
  const ScriptedServer first(resetting);
  const ScriptedServer second(resetting);
  const ScriptedServer third(resetting);
  const ScriptedServer fourth(resetting);
  RelayFixture relay({ &first, &second, &third, &fourth });
  for (int time = 0; time < 12; ++time) {
    const Received received = relay.SendRequest(RelayKind::Stream);
    BOOST_TEST((received.error->kind != ErrorKind::PoisonRequest));
  }
}

BOOST_AUTO_TEST_CASE(EndpointGetsNoMoreRequestsThanItsAdvertisedLimit)
{
  const ScriptedServer limitedServer([](const std::string&) {
    return Send(MakeResponse("hi", "200 OK", "Id: r1\r\nMark: m\r\nLimit: 1\r\n"));
  });
  const ScriptedServer other([](const std::string&) { return Send(MakeResponse("hi")); });
  RelayFixture relay({ &limitedServer, &other });
  const TimePoint begun = relay.clock.Now();
  for (int time = 0; time < 60; ++time) {
    BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  }
  const std::chrono::duration<double> took = relay.clock.Now() - begun;
  // The allowance is 1.5 times the limit plus 5; one more request is sent before the limit is known
  BOOST_TEST(static_cast<double>(limitedServer.Requests().size()) <= 1.5 * took.count() + 5 + 1);
  BOOST_TEST(!other.Requests().empty());
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedWithRetryAfterWhenNoEndpointExists)
{
  RelayFixture relay({});
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_TEST((received.error->ran == Ran::No));
  BOOST_TEST(received.error->retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
