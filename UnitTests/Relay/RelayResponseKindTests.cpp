#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(RelayResponseKindTests)

/// Guards against a complete, empty success: the head of an event stream that answered a plain request was passed on, and
/// the request was then repeated.
BOOST_AUTO_TEST_CASE(PlainRequestIsRepeatedAfterABrokenEventStream)
{
  const auto script = RespondFirstThen(
    { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\nda") }, { Kind::Reset } },
    Send(MakeResponse("whole")));
  const ScriptedServer server(script);
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::Idempotent);
  BOOST_TEST(!received.streamed);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "whole");
}

BOOST_AUTO_TEST_CASE(PlainRequestReceivesAWholeEventStreamUnchanged)
{
  for (const RelayKind kind : { RelayKind::Idempotent, RelayKind::NonIdempotent }) {
    const ScriptedServer server(
      [](const std::string&) { return Send(kStreamHead + Chunk(kEvents) + "0\r\n\r\n"); });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(kind);
    BOOST_REQUIRE(received.reply.has_value());
    BOOST_TEST(received.reply->body == kEvents);
  }
}

BOOST_AUTO_TEST_CASE(EventStreamOfAPlainRequestMayEndWithinAnEvent)
{
  // A plain body has no events that could be incomplete
  const ScriptedServer server(
    [](const std::string&) { return Send(kStreamHead + Chunk("data: a") + "0\r\n\r\n"); });
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "data: a");
}

/// Guards against a stream that ends as complete although pieces are missing: the endpoint that was to continue it sent a
/// plain response.
BOOST_AUTO_TEST_CASE(StreamThatIsContinuedByAPlainResponseIsAborted)
{
  const auto script = RespondFirstThen({ { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
                                         { Kind::Wait, {}, Milliseconds(50) },
                                         { Kind::Reset } },
                                       Send(MakeResponse("plain")));
  const ScriptedServer server(script);
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::Stream, true);
  BOOST_TEST(received.streamed);
  BOOST_TEST(received.aborted);
}

BOOST_AUTO_TEST_SUITE_END()
