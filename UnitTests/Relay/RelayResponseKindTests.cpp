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

// Guards against a part of a response that callers get as complete: its endpoint stopped at the deadline of the request, and
// the body ends with its connection.
BOOST_AUTO_TEST_CASE(BodyThatEndsWithItsConnectionAtTheDeadlineIsNotComplete)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n";
  const std::string events = "id: 1\ndata: a\n\n";
  const ScriptedServer server([&](const std::string& aRequest) -> Script {
    const bool isStream = aRequest.find("stream") != std::string::npos;
    return { { Kind::Send,
               head + (isStream ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n") + events },
             { Kind::Wait, {}, Milliseconds(100) },
             { Kind::Close } };
  });
  for (const bool isAtDeadline : { false, true }) {
    for (const RelayKind kind : { RelayKind::Stream, RelayKind::NonIdempotent }) {
      BOOST_TEST_CONTEXT("at the deadline: " << isAtDeadline << ", kind " << static_cast<int>(kind))
      {
        RelaySettings settings;
        settings.deadlineMargin = isAtDeadline ? Milliseconds(4900) : settings.deadlineMargin;
        RelayFixture relay({ &server }, {}, {}, nullptr, settings);
        relay.body = kind == RelayKind::Stream ? "stream" : "plain";
        TestCaller caller;
        relay.Submit(caller, kind, false, Seconds(5));
        const Received received = caller.Wait();
        const bool isComplete =
          received.reply ? received.reply->status == 200 : received.streamed && !received.aborted;
        BOOST_TEST(isComplete != isAtDeadline);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
