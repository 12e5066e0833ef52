#include "UnitTests/Relay/RelayFixture.h"

#include <algorithm>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr int kRequests = 12;

/// Answers each request with these headers besides those of any answer.
ScriptedServer::Handler
Answering(const std::string& aHeaders)
{
  return [script = Send(MakeResponse("hi", "200 OK", "Id: r1\r\nMark: m\r\n" + aHeaders))](
           const std::string&) { return script; };
}

/// Rejects each request and asks for a backoff of that many milliseconds.
ScriptedServer::Handler
AskingForBackoff(int aMilliseconds)
{
  const std::string headers = fmt::format("Id: r1\r\nNot-Run: 1\r\nBackoff: {}\r\n", aMilliseconds);
  return [script = Send(MakeResponse("", "503 Service Unavailable", headers))](const std::string&) {
    return script;
  };
}

/// Sends requests one after the other and counts those that were served.
int
CountServed(RelayFixture& aRelay, int aCount = kRequests)
{
  int served = 0;
  for (int sent = 0; sent < aCount; ++sent) {
    const Received received = aRelay.SendRequest(RelayKind::Idempotent);
    served += received.reply && received.reply->status == 200 ? 1 : 0;
  }
  return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayNoticeTests)

/// Guards against requests to an endpoint whose answers say that it leaves while its record still says that it is live.
BOOST_AUTO_TEST_CASE(EndpointWhoseAnswerSaysThatItLeavesIsSentNothingMore)
{
  ScriptedServer leaving(Answering("Leaving: 1\r\n"));
  ScriptedServer staying(Answering(""));
  RelayFixture relay({ &leaving, &staying });
  BOOST_TEST(CountServed(relay) == kRequests);
  BOOST_TEST(leaving.Requests().size() <= 1U);
}

/// Guards against requests to an endpoint that rejected one and asked for a backoff: it looks free, as it answers at once,
/// and draws the requests that others have room for.
BOOST_AUTO_TEST_CASE(EndpointThatAsksForABackoffIsSentNothingUntilItsEnd)
{
  ScriptedServer rejecting(AskingForBackoff(60'000));
  ScriptedServer other(Answering(""));
  RelayFixture relay({ &rejecting, &other });
  BOOST_TEST(CountServed(relay) == kRequests);
  BOOST_TEST(rejecting.Requests().size() <= 1U);
}

/// Guards against a backoff that never ends.
BOOST_AUTO_TEST_CASE(EndpointIsUsedAgainAfterItsBackoff)
{
  const int backoff = 300;
  ScriptedServer endpoint(RespondFirstThen(AskingForBackoff(backoff)(""), Answering("")("")));
  RelayFixture relay({ &endpoint });
  const TimePoint begun = relay.clock.Now();
  BOOST_TEST(!relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  while (endpoint.Requests().size() < 2 && relay.clock.Now() < begun + Seconds(5)) {
    static_cast<void>(relay.SendRequest(RelayKind::Idempotent));
  }
  BOOST_TEST(endpoint.Requests().size() == 2U);
  BOOST_TEST((relay.clock.Now() >= begun + Milliseconds(backoff)));
}

/// Guards against requests that wait, or come back at once, although all endpoints have said how long they want none.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedUntilTheFirstBackoffEnds)
{
  ScriptedServer first(AskingForBackoff(60'000));
  ScriptedServer second(AskingForBackoff(30'000));
  RelayFixture relay({ &first, &second });
  static_cast<void>(CountServed(relay, 2));
  const TimePoint begun = relay.clock.Now();
  const Received received = relay.SendRequest(RelayKind::Idempotent);
  BOOST_TEST((relay.clock.Now() < begun + Milliseconds(80)));
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::No));
  BOOST_REQUIRE(received.error->retryAfter.has_value());
  BOOST_TEST((*received.error->retryAfter > Seconds(25)));
  BOOST_TEST((*received.error->retryAfter <= Seconds(30)));
  BOOST_TEST(first.Requests().size() + second.Requests().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
