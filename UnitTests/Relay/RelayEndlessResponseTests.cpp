#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kRouteTimeout{ 8000 };

const std::string kHead = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n";
const std::string kEventStream = "Content-Type: text/event-stream\r\n";

std::string
Repeat(std::string_view aPiece, std::size_t aBytes)
{
  std::string bytes;
  while (bytes.size() < aBytes) {
    bytes += aPiece;
  }
  return bytes;
}

/// A response that has no end.
struct EndlessResponse
{
  std::string name;
  RelayKind kind = RelayKind::Stream;
  std::string begin;     ///< The head and what precedes the endless part.
  std::string piece;     ///< Sent again and again.
  std::size_t bytes = 0; ///< Of the endless part that are sent.
};

std::ostream&
operator<<(std::ostream& aStream, const EndlessResponse& aResponse)
{
  return aStream << aResponse.name;
}

const std::size_t kLongEvent = std::size_t{ 4 } << 20U;
const std::size_t kLongBody = std::size_t{ 8 } << 20U;
const std::size_t kLongHead = std::size_t{ 1 } << 20U;

const std::vector<EndlessResponse> kEndlessResponses{
  { "event in chunks", RelayKind::Stream, kStreamHead, Chunk(Repeat("data: 1\n", 8192)),
    kLongEvent },
  { "comments", RelayKind::Stream, kStreamHead, Chunk(Repeat(": c\n", 8192)), kLongEvent },
  { "one line", RelayKind::Stream, kStreamHead, Chunk(Repeat("x", 8192)), kLongEvent },
  { "event without chunks", RelayKind::Stream, kHead + kEventStream + "\r\n",
    Repeat("data: 1\n", 8192), kLongEvent },
  { "plain body in chunks", RelayKind::NonIdempotent, kHead + "Transfer-Encoding: chunked\r\n\r\n",
    Chunk(Repeat("x", 8192)), kLongBody },
  { "plain body without chunks", RelayKind::NonIdempotent, kHead + "\r\n", Repeat("x", 8192),
    kLongBody },
  { "body of a failure", RelayKind::NonIdempotent,
    "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nMark: m\r\n\r\n", Repeat("x", 8192),
    kLongBody },
  { "body of a response that is not marked", RelayKind::Stream,
    "HTTP/1.1 200 OK\r\nId: r1\r\n" + kEventStream + "\r\n", Repeat("data: 1\n\n", 8192),
    kLongBody },
  { "header lines", RelayKind::NonIdempotent, kHead, "Name: value\r\n", kLongHead },
  { "one header line", RelayKind::NonIdempotent, kHead + "Name: ", Repeat("x", 8192), kLongHead },
  { "interim responses",
    RelayKind::NonIdempotent,
    {},
    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
    kLongHead },
  { "trailer lines", RelayKind::NonIdempotent,
    kHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Name: value\r\n", kLongHead },
};

/// Sends the response and then falls silent, with the connection open.
ScriptedServer::Handler
SendEndlessly(const EndlessResponse& aResponse)
{
  Script script{ { Kind::Send, aResponse.begin + Repeat(aResponse.piece, aResponse.bytes) },
                 { Kind::Wait, {}, Seconds(20) } };
  return [script = std::move(script)](const std::string&) { return script; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayEndlessResponseTests)

/// Guards against bytes without end that a daemon reads and keeps until the deadline, while its other requests wait.
BOOST_DATA_TEST_CASE(EndlessResponseEndsItsAttemptAtOnce,
                     boost::unit_test::data::make(kEndlessResponses), response)
{
  const ScriptedServer server(SendEndlessly(response));
  RelayFixture relay({ &server });
  const TimePoint begun = relay.clock.Now();
  const Received received = relay.SendRequest(response.kind, false, kRouteTimeout);
  BOOST_TEST((relay.clock.Now() - begun < kRouteTimeout / 2));
  BOOST_TEST((received.aborted || received.error.has_value()));
  if (received.error) {
    BOOST_TEST((received.error->kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST((received.error->ran == Ran::Unknown));
  }
  BOOST_TEST(server.Requests().size() == 1U);
}

/// A response that its endpoint did not end is not a sign that the endpoint crashed.
BOOST_AUTO_TEST_CASE(EndlessResponseDoesNotCountAsACrash)
{
  const EndlessResponse& response = kEndlessResponses.front();
  const ScriptedServer server(SendEndlessly(response));
  RelayFixture relay({ &server });
  for (int turn = 0; turn < 5; ++turn) {
    const Received received = relay.SendRequest(response.kind, false, kRouteTimeout);
    BOOST_TEST((!received.error || received.error->kind != ErrorKind::PoisonRequest));
  }
}

BOOST_AUTO_TEST_SUITE_END()
