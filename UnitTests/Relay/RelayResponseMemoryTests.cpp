#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kRouteTimeout{ 18'000 };
constexpr Milliseconds kSilence{ 30'000 };

constexpr std::size_t kMebibyte = 1U << 20U;
constexpr std::size_t kBound = 4 * kMebibyte;
/// Below the limit of one response.
constexpr std::size_t kEndlessBytes = kMebibyte;
constexpr int kEndlessResponses = 40;
/// Two of these fit into the bound.
constexpr std::size_t kUnreadBytes = kBound * 3 / 8;

const std::string kHead = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n";

template<typename Condition>
bool
AwaitUntil(const Condition& aCondition, Milliseconds aLimit)
{
  const SystemClock clock;
  const TimePoint limit = clock.Now() + aLimit;
  while (!aCondition() && clock.Now() < limit) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return aCondition();
}

RelaySettings
BoundedSettings()
{
  RelaySettings settings;
  settings.maximumResponseMemory = kBound;
  return settings;
}

/// Bytes that are followed by silence, with the connection open.
Script
SendWithoutEnd(std::string aBytes)
{
  return { { Kind::Send, std::move(aBytes) }, { Kind::Wait, {}, kSilence } };
}

/// Lets threads go on once this number of them has arrived.
class Barrier
{
public:
  explicit Barrier(int aCount)
    : missing(aCount)
  {
  }

  void ArriveAndWait()
  {
    std::unique_lock lock(this->mutex);
    --this->missing;
    this->changed.notify_all();
    this->changed.wait_for(lock, Seconds(5), [this] { return this->missing <= 0; });
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  int missing;
};

/// Answers requests with the body "sound" slowly and completely, all others with the script.
ScriptedServer::Handler
AnswerSoundRequestsOrPlay(const std::string& aSoundBody, const Script& aScript)
{
  const std::string sound = MakeResponse(aSoundBody);
  const std::size_t half = sound.size() / 2;
  const Script complete{ { Kind::Send, sound.substr(0, half) },
                         { Kind::Wait, {}, Milliseconds(1500) },
                         { Kind::Send, sound.substr(half) } };
  return [complete, aScript](const std::string& aRequest) {
    return aRequest.ends_with("sound") ? complete : aScript;
  };
}

std::string
Repeat(std::string_view aPiece, std::size_t aBytes)
{
  std::string bytes;
  while (bytes.size() < aBytes) {
    bytes += aPiece;
  }
  return bytes;
}

/// Sends requests whose responses never end beside sound ones. All but those that fit into the bound have to end at once.
void
CheckThatEndlessResponsesEndBesideSoundOnes(const Script& aEndless, std::size_t aFitting)
{
  const std::string soundBody(100U << 10U, 's');
  const auto handler = AnswerSoundRequestsOrPlay(soundBody, aEndless);
  const ScriptedServer first(handler);
  const ScriptedServer second(handler);
  RelayFixture relay({ &first, &second }, {}, {}, nullptr, BoundedSettings());
  std::deque<TestCaller> soundCallers(5);
  std::deque<TestCaller> callers(kEndlessResponses);
  relay.body = "sound";
  for (TestCaller& caller : soundCallers) {
    relay.Submit(caller, RelayKind::NonIdempotent, false, kRouteTimeout);
  }
  relay.body = "endless";
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::NonIdempotent, false, kRouteTimeout);
  }
  const auto closed = [&] {
    return static_cast<std::size_t>(first.AbandonedScripts()) +
           static_cast<std::size_t>(second.AbandonedScripts());
  };
  BOOST_TEST(
    AwaitUntil([&] { return closed() + aFitting >= kEndlessResponses; }, kRouteTimeout / 2));
  BOOST_TEST(closed() + aFitting >= static_cast<std::size_t>(kEndlessResponses));
  for (TestCaller& caller : soundCallers) {
    const Received received = caller.Wait();
    BOOST_TEST_REQUIRE(received.reply.has_value());
    BOOST_TEST((received.reply->body == soundBody));
  }
  for (TestCaller& caller : callers) {
    caller.disconnected = true;
  }
  for (TestCaller& caller : callers) {
    BOOST_TEST(!caller.Wait().reply.has_value());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayResponseMemoryTests)

/// Guards against many responses without end, each below the limit of one, that together take all memory of a daemon.
BOOST_AUTO_TEST_CASE(EndlessBodiesStayWithinTheBoundOfAllResponses)
{
  CheckThatEndlessResponsesEndBesideSoundOnes(
    SendWithoutEnd(kHead + "\r\n" + std::string(kEndlessBytes, 'x')), kBound / kEndlessBytes);
}

/// Guards against the same with header lines: what is kept of a short line is many times its size.
BOOST_AUTO_TEST_CASE(EndlessHeaderLinesStayWithinTheBoundOfAllResponses)
{
  constexpr std::size_t kLines = 10'000;
  const std::string line = "a: b\r\n";
  CheckThatEndlessResponsesEndBesideSoundOnes(
    SendWithoutEnd(kHead + Repeat(line, kLines * line.size())),
    kBound / (kLines * sizeof(HttpHeader)));
}

/// Guards against the same with the bodies of failures, which are kept while the request is sent once more.
BOOST_AUTO_TEST_CASE(FailuresThatAreKeptStayWithinTheBoundOfAllResponses)
{
  constexpr int kRequests = 10;
  const Script failure =
    Send(MakeResponse(std::string(kEndlessBytes, 'x'), "500 Internal Server Error"));
  // Ends the second attempt without a response
  const Script foreign = Send(MakeResponse("x", "200 OK", "Id: r0\r\nMark: m\r\n"));
  Barrier secondAttempts(kRequests);
  std::atomic<int> received{ 0 };
  const auto handler = [&](const std::string&) {
    // Each request is sent once the first attempt of the one before it has failed
    const bool isFirst = received++ % 2 == 0;
    if (!isFirst) {
      secondAttempts.ArriveAndWait();
    }
    return isFirst ? failure : foreign;
  };
  // So many that no endpoint is avoided because of its failures
  std::deque<ScriptedServer> servers;
  std::vector<const ScriptedServer*> endpoints;
  endpoints.reserve(kRequests);
  for (int number = 0; number < kRequests; ++number) {
    endpoints.push_back(&servers.emplace_back(handler));
  }
  RelayFixture relay(endpoints, {}, {}, nullptr, BoundedSettings());
  std::deque<TestCaller> callers(kRequests);
  int sent = 0;
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::Idempotent, false, kRouteTimeout);
    sent += 2;
    BOOST_TEST_REQUIRE(AwaitUntil([&] { return received == sent; }, kRouteTimeout / 2));
  }
  std::size_t kept = 0;
  for (TestCaller& caller : callers) {
    const Received each = caller.Wait();
    kept += each.reply ? 1 : 0;
    BOOST_TEST((each.reply.has_value() || each.error->kind == ErrorKind::EndpointFailed));
  }
  BOOST_TEST(kept > 0U);
  BOOST_TEST(kept <= kBound / kEndlessBytes);
}

/// Guards against streams whose callers read slowly and that together take all memory of a daemon.
BOOST_AUTO_TEST_CASE(StreamsWithSlowCallersStayWithinTheBoundOfAllResponses)
{
  const ScriptedServer server(
    [](const std::string&) { return SendWithoutEnd(kStreamHead + Chunk("data: 1\n\n")); });
  RelayFixture relay({ &server }, {}, {}, nullptr, BoundedSettings());
  std::deque<TestCaller> callers(kBound / kMebibyte);
  for (TestCaller& caller : callers) {
    caller.unread->bytes = kUnreadBytes;
    relay.Submit(caller, RelayKind::Stream, false, kRouteTimeout);
  }
  const auto discarded = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const TestCaller& aEach) { return aEach.unread->isDiscarded.load(); });
  };
  BOOST_TEST(AwaitUntil([&] { return discarded() == 2; }, kRouteTimeout / 2));
  BOOST_TEST(AwaitUntil([&] { return server.AbandonedScripts() == 2; }, kRouteTimeout / 2));
  for (TestCaller& caller : callers) {
    caller.disconnected = true;
    BOOST_TEST(caller.Wait().aborted);
  }
}

/// Guards against complete responses whose callers read slowly and that together take all memory of a daemon.
BOOST_AUTO_TEST_CASE(CompleteResponsesOfSlowCallersStayWithinTheBoundOfAllResponses)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("complete")); });
  std::deque<TestCaller> callers(kBound / kMebibyte);
  RelayFixture relay({ &server }, {}, {}, nullptr, BoundedSettings());
  for (TestCaller& caller : callers) {
    caller.unread->bytes = kUnreadBytes;
    relay.Submit(caller, RelayKind::NonIdempotent, false, kRouteTimeout);
    BOOST_TEST(caller.Wait().reply.has_value());
  }
  const auto discarded = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const TestCaller& aEach) { return aEach.unread->isDiscarded.load(); });
  };
  BOOST_TEST(AwaitUntil([&] { return discarded() == 2; }, kRouteTimeout / 2));
}

/// Guards against responses that are stopped for lack of memory without a reason in the logs.
BOOST_AUTO_TEST_CASE(ReasonOfAStoppedResponseNamesTheBound)
{
  const ScriptedServer server([](const std::string&) {
    return SendWithoutEnd(kHead + "\r\n" + std::string(kEndlessBytes, 'x'));
  });
  RelaySettings settings;
  settings.maximumResponseMemory = kEndlessBytes / 2;
  RelayFixture relay({ &server }, {}, {}, nullptr, settings);
  const Received received = relay.SendRequest(RelayKind::NonIdempotent, false, kRouteTimeout);
  BOOST_TEST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST((received.error->ran == Ran::Unknown));
  BOOST_TEST(received.error->message.find("hold more than 524288 bytes") != std::string::npos,
             received.error->message);
}

BOOST_AUTO_TEST_SUITE_END()
