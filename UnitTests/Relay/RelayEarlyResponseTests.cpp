#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// More than the socket buffers of both ends hold, so that the upload goes on while the response arrives.
constexpr std::size_t kUploadBytes = 8 << 20;

/// How an endpoint answers before it has read the request.
struct EarlyResponse
{
  std::string name;
  std::string bytes;
  Kind ending = Kind::Reset;
};

std::ostream&
operator<<(std::ostream& aStream, const EarlyResponse& aResponse)
{
  return aStream << aResponse.name;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n";

/// Responses that end before they are complete.
const std::vector<EarlyResponse> kIncomplete{
  { "no length, reset", kHead + "\r\npart" },
  { "no length, closed with the upload unread", kHead + "\r\npart", Kind::Close },
  { "no length, finished", kHead + "\r\npart", Kind::Finish },
  { "length, reset", kHead + "Content-Length: 10\r\n\r\npart" },
  { "length, finished", kHead + "Content-Length: 10\r\n\r\npart", Kind::Finish },
  { "chunks, reset", kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" },
  { "chunks, finished", kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Kind::Finish },
  { "events, reset", kStreamHead + Chunk("id: 1\ndata: a\n\n") },
  { "events, finished", kStreamHead + Chunk("id: 1\ndata: a\n\n"), Kind::Finish },
};

ScriptedServer::Handler
Respond(const EarlyResponse& aResponse, Milliseconds aWait)
{
  return [=](const std::string&) {
    return Script{ { Kind::Send, aResponse.bytes },
                   { Kind::Wait, {}, aWait },
                   { aResponse.ending } };
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayEarlyResponseTests)

/// Guards against a part of a response that reaches the caller as a whole one: the endpoint answered while the request
/// was still being sent, and ended the connection.
BOOST_DATA_TEST_CASE(ResponseThatBreaksOffWhileTheRequestIsSentIsNoAnswer,
                     boost::unit_test::data::make(kIncomplete), response)
{
  for (const Milliseconds wait : { Milliseconds(20), Milliseconds(300) }) {
    for (const RelayKind kind :
         { RelayKind::NonIdempotent, RelayKind::Idempotent, RelayKind::Stream }) {
      const ScriptedServer server(Respond(response, wait), 0, ScriptedServer::Start::Head);
      RelayFixture relay({ &server });
      const Received received = relay.SendRequestWithBody(std::string(kUploadBytes, 'b'), kind);
      BOOST_TEST(!received.reply.has_value());
      BOOST_TEST((received.error.has_value() || received.aborted));
      BOOST_TEST((!received.error || received.error->ran == Ran::Unknown));
    }
  }
}

/// The first attempt broke off in the same way; the caller receives the second one's response alone.
BOOST_AUTO_TEST_CASE(SecondAttemptAnswersAfterAnEarlyResponseThatBrokeOff)
{
  for (const EarlyResponse& early : kIncomplete) {
    const auto isFirst = std::make_shared<std::atomic<bool>>(true);
    const auto handler = [early, isFirst](const std::string&) {
      return isFirst->exchange(false)
               ? Script{ { Kind::Send, early.bytes },
                         { Kind::Wait, {}, Milliseconds(20) },
                         { early.ending } }
               : Script{ { Kind::Send, MakeResponse("whole") }, { Kind::Finish } };
    };
    const ScriptedServer first(handler, 0, ScriptedServer::Start::Head);
    const ScriptedServer second(handler, 0, ScriptedServer::Start::Head);
    RelayFixture relay({ &first, &second });
    const Received received =
      relay.SendRequestWithBody(std::string(kUploadBytes, 'b'), RelayKind::Idempotent);
    BOOST_REQUIRE_MESSAGE(received.reply.has_value(), early.name);
    BOOST_TEST(received.reply->body == "whole");
  }
}

/// The same on a connection that has carried a whole response before.
BOOST_AUTO_TEST_CASE(ResponseThatBreaksOffOnAReusedConnectionIsNoAnswer)
{
  for (const EarlyResponse& early : kIncomplete) {
    const auto requests = std::make_shared<std::atomic<int>>(0);
    const ScriptedServer server(
      [early, requests](const std::string&) {
        return (*requests)++ == 0 ? Send(MakeResponse("first"))
                                  : Respond(early, Milliseconds(20))(std::string());
      },
      0, ScriptedServer::Start::Head);
    RelayFixture relay({ &server });
    std::atomic<bool> wasReused{ false };
    relay.observer.onAttemptFailed = [&](const FailedAttempt& aFailed) {
      wasReused = aFailed.response.onReusedConnection;
    };
    BOOST_REQUIRE(relay.SendRequest(RelayKind::NonIdempotent).reply.has_value());
    const Received received =
      relay.SendRequestWithBody(std::string(kUploadBytes, 'b'), RelayKind::NonIdempotent);
    BOOST_TEST(!received.reply.has_value(), early.name);
    BOOST_TEST(wasReused.load(), early.name);
  }
}

/// The head of a rejection is enough, also where its body states no length.
BOOST_AUTO_TEST_CASE(EarlyRejectionWithoutALengthIsRepeated)
{
  const std::string rejection = "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\n\r\nfull";
  const auto isFirst = std::make_shared<std::atomic<bool>>(true);
  const auto handler = [=](const std::string&) {
    return Script{ { Kind::Send, isFirst->exchange(false) ? rejection : MakeResponse("whole") },
                   { Kind::Finish } };
  };
  const ScriptedServer first(handler, 0, ScriptedServer::Start::Head);
  const ScriptedServer second(handler, 0, ScriptedServer::Start::Head);
  RelayFixture relay({ &first, &second });
  const Received received =
    relay.SendRequestWithBody(std::string(kUploadBytes, 'b'), RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "whole");
}

BOOST_AUTO_TEST_CASE(WholeResponseBeforeTheRequestIsSentIsPassedOn)
{
  const ScriptedServer server(
    [](const std::string&) {
      return Script{ { Kind::Send, MakeResponse("whole") }, { Kind::Finish } };
    },
    0, ScriptedServer::Start::Head);
  RelayFixture relay({ &server });
  const Received received =
    relay.SendRequestWithBody(std::string(kUploadBytes, 'b'), RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "whole");
}

// Guards against statuses that no HTTP defines reaching callers as the endpoint's answer.
BOOST_AUTO_TEST_CASE(ResponseWithAnInvalidStatusIsNoAnswer)
{
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    for (const RelayKind kind : { RelayKind::NonIdempotent, RelayKind::Stream }) {
      const ScriptedServer server(
        [status](const std::string&) { return Send(MakeResponse("odd", status + " Odd")); });
      RelayFixture relay({ &server });
      const Received received = relay.SendRequest(kind);
      BOOST_TEST(!received.reply.has_value(), status);
      BOOST_REQUIRE(received.error.has_value());
      BOOST_TEST((received.error->ran == Ran::Unknown), status);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
