#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kBody(400, 'b');

/// How the second response follows the one that is broken off.
enum class Gap
{
  None,   ///< In the same segment.
  Waiting ///< After a wait, so that it is read on its own.
};

std::ostream&
operator<<(std::ostream& aStream, Gap aGap)
{
  return aStream << (aGap == Gap::None ? "no gap" : "gap");
}

Script
JoinResponses(std::string aFirst, const std::string& aSecond, Gap aGap)
{
  if (aGap == Gap::None) {
    return Send(aFirst + aSecond);
  }
  return { { Kind::Send, std::move(aFirst) },
           { Kind::Wait, {}, Milliseconds(100) },
           { Kind::Send, aSecond } };
}

/// Without its last bytes.
std::string
Cut(const std::string& aResponse, std::size_t aMissing)
{
  return aResponse.substr(0, aResponse.size() - aMissing);
}

/// Appends the closing of the connection.
Script
ThenClose(Script aScript)
{
  aScript.push_back({ Kind::Close });
  return aScript;
}

const std::string kUnframedStreamHead =
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Streams that are broken off within or behind an event, followed by a complete one to the same request.
const std::vector<std::string> kJoinedStreams{
  kUnframedStreamHead + "id: 1\ndata: a\n\nid: 2\ndata: x" + kUnframedStreamHead + kEvents,
  kUnframedStreamHead + "id: 1\ndata: a\n\n" + kUnframedStreamHead + kEvents,
  kUnframedStreamHead + "id: 1\ndata: a\n\nid: 2\n" + kUnframedStreamHead + kEvents,
  // The bytes of the second response fill up a chunk of the first
  Cut(kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\ndata: x" + std::string(400, 'y') + "\n\n"),
      404) +
    kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\ndata: " + std::string(400, 'z') + "\n\n") +
    "0\r\n\r\n",
  // Its status line is lost in the size line of a chunk
  kStreamHead + Chunk("id: 1\ndata: a\n\n") + "1f4" + kStreamHead +
    Chunk("id: 1\ndata: a\n\nid: 2\ndata: " + std::string(600, 'z') + "\n\n") + "0\r\n\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayJoinedBodyTests)

/// Guards against a success whose body isn't the endpoint's: a response that is broken off within its body is followed by
/// a complete one on the same connection, whose head then counts as the missing bytes.
BOOST_DATA_TEST_CASE(BodyThatHoldsTheHeadOfAnotherResponseIsNoSuccess,
                     boost::unit_test::data::make({ Gap::None, Gap::Waiting }), gap)
{
  for (const std::size_t missing : { 30U, 60U, 100U, 300U, 400U }) {
    const std::string response = MakeResponse(kBody);
    const ScriptedServer server(
      [&](const std::string&) { return JoinResponses(Cut(response, missing), response, gap); });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(RelayKind::NonIdempotent);
    BOOST_TEST(!received.reply.has_value(), "missing: " << missing);
    BOOST_REQUIRE(received.error.has_value());
    BOOST_TEST((received.error->kind == ErrorKind::OutcomeUnknown));
  }
}

/// The same for a body that ends with its connection.
BOOST_AUTO_TEST_CASE(BodyWithoutALengthThatHoldsTheHeadOfAnotherResponseIsNoSuccess)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\n";
  const ScriptedServer server(
    [&](const std::string&) { return ThenClose(Send(head + "be" + MakeResponse("begun"))); });
  RelayFixture relay({ &server });
  BOOST_TEST(!relay.SendRequest(RelayKind::NonIdempotent).reply.has_value());
}

/// Guards against a body that counts as complete because the size line of a chunk was cut behind a leading zero: that ends
/// the body, and the head of the next response counts as trailers.
BOOST_AUTO_TEST_CASE(TrailersThatNameARequestAreNoEndOfTheBody)
{
  for (const RelayKind kind : { RelayKind::NonIdempotent, RelayKind::Stream }) {
    const bool isStream = kind == RelayKind::Stream;
    const std::string head =
      isStream ? kStreamHead
               : "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string first = Chunk("id: 1\ndata: a\n\n");
    const std::string second = "00f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    const ScriptedServer server([&](const std::string&) {
      return Send(fmt::format("{0}{1}{2:.1}{0}{1}{2}", head, first, second));
    });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(kind);
    BOOST_TEST(!received.reply.has_value());
    BOOST_TEST((received.aborted || received.error.has_value()));
  }
}

/// Guards against events with bytes of another response's head.
BOOST_DATA_TEST_CASE(EventThatHoldsTheHeadOfAnotherResponseIsNotPassedOn,
                     boost::unit_test::data::make(kJoinedStreams), stream)
{
  const ScriptedServer server([&](const std::string&) { return ThenClose(Send(stream)); });
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::Stream);
  BOOST_TEST(received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\n");
}

BOOST_AUTO_TEST_CASE(StreamGoesOnElsewhereAfterAnEventWithAnotherHead)
{
  const ScriptedServer server(
    RespondFirstThen(ThenClose(Send(kJoinedStreams[0])),
                     Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")));
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::Stream, true);
  BOOST_TEST(received.ended);
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == kEvents);
}

BOOST_AUTO_TEST_CASE(ContentAboutHttpIsPassedOn)
{
  for (const std::string& body :
       { std::string("A server answers with HTTP/1.1 200 OK"),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
         std::string("HTTP/1.1 200 OK\r\nId: 9c41d07be2a35f68\r\nMark: m\r\n\r\nhi"),
         std::string("POST / HTTP/1.1\r\nId: r1\r\n\r\n") }) {
    const ScriptedServer server(
      [&](const std::string&) { return Send(MakeResponse(body) + MakeResponse("extra")); });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(RelayKind::NonIdempotent);
    BOOST_REQUIRE(received.reply.has_value());
    BOOST_TEST(received.reply->body == body);
  }
}

BOOST_AUTO_TEST_CASE(EventsAboutHttpAndUnknownFieldsArePassedOn)
{
  const std::string events = "id: 1\nversions: 7\ndata: HTTP/1.1 200 OK\ndata: Id: r1\n\n"
                             "id: 2\ndata: HTTP/1.1 200 OK\n: Id: r1\n\n";
  const ScriptedServer server(
    [&](const std::string&) { return Send(kStreamHead + Chunk(events) + "0\r\n\r\n"); });
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::Stream);
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == events);
}

BOOST_AUTO_TEST_SUITE_END()
