#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kOwnFailure = MakeResponse("own", "500 Internal Server Error");

/// Responses to an earlier request that an endpoint sends once more, late: with its id, and a header before it.
const std::vector<std::string> kLateResponses{
  MakeResponse("late", "200 OK", "Date: Sat, 01 Jan 2000 00:00:00 GMT\r\nId: r0\r\nMark: m\r\n"),
  MakeResponse("", "204 No Content", "Id: r0\r\nMark: m\r\n"),
  MakeResponse("", "421 Misdirected Request", "Date: Sat, 01 Jan 2000 00:00:00 GMT\r\nId: r0\r\n"),
  MakeResponse("late", "500 Internal Server Error", "Id: r0\r\nMark: m\r\n"),
  MakeResponse("", "503 Service Unavailable", "Not-Run: 1\r\nId: r0\r\n"),
  "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
};

/// Whether a caller got the endpoint's own response, or is told that the outcome is unknown.
bool
IsOwnOrUnknown(const Received& aReceived)
{
  if (aReceived.error) {
    return aReceived.error->ran == Ran::Unknown;
  }
  return aReceived.reply && aReceived.reply->status == 500 && aReceived.reply->body == "own";
}

/// What a caller got, for messages of failed checks.
std::string
Describe(const Received& aReceived)
{
  if (aReceived.reply) {
    return fmt::format("status {}, body {}", aReceived.reply->status, aReceived.reply->body);
  }
  return aReceived.error ? aReceived.error->ToJson() : "neither response nor error";
}

/// Responds to a request with a number as its body with as many bytes of the late response, and then to each properly.
ScriptedServer::Handler
SendLateBeginning(const std::string& aLate, Milliseconds aPause = Milliseconds(0))
{
  return [aLate, aPause](const std::string& aRequest) -> Script {
    const std::string body = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
    const std::size_t length = std::strtoul(body.c_str(), nullptr, 10);
    if (length == 0) {
      return Send(kOwnFailure);
    }
    if (aPause == Milliseconds(0)) {
      return Send(aLate.substr(0, length) + kOwnFailure);
    }
    return { { Kind::Send, aLate.substr(0, length) },
             { Kind::Wait, {}, aPause },
             { Kind::Send, kOwnFailure } };
  };
}

/// Sends one request that is answered properly, and on its connection a second one.
/// @param aLength  bytes of the late response before the response to the second one
Received
SendTwoRequests(const ScriptedServer& aServer, RelayKind aKind, std::size_t aLength)
{
  RelayFixture relay({ &aServer });
  BOOST_REQUIRE(IsOwnOrUnknown(relay.SendRequestWithBody("0", RelayKind::NonIdempotent)));
  return relay.SendRequestWithBody(std::to_string(aLength), aKind);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayJoinedResponseTests)

/// Guards against a caller that gets the status of one response with the body of another: the beginning of a late second
/// response and the next response on the connection were read as one.
BOOST_DATA_TEST_CASE(BeginningOfALateResponseIsNotJoinedWithTheNextOne,
                     boost::unit_test::data::make(kLateResponses), late)
{
  const ScriptedServer server(SendLateBeginning(late));
  for (std::size_t length = 1; length <= late.size(); ++length) {
    const std::size_t before = server.Requests().size();
    const Received received = SendTwoRequests(server, RelayKind::NonIdempotent, length);
    BOOST_TEST(IsOwnOrUnknown(received), Describe(received)
                                           << " after `" << late.substr(0, length) << "`");
    BOOST_TEST(server.Requests().size() == before + 2);
  }
}

/// Guards against the same where the beginning arrives in a segment of its own.
BOOST_AUTO_TEST_CASE(BeginningThatArrivesBeforeTheNextResponseIsNotJoinedWithIt)
{
  for (const std::string beginning :
       { "HTTP/1.1 200 La", "HTTP/1.1 421 ", "HTTP/1.1 200 OK\r\nDate: Sat, 01 J" }) {
    const ScriptedServer server(SendLateBeginning(beginning, Milliseconds(20)));
    const Received received = SendTwoRequests(server, RelayKind::NonIdempotent, beginning.size());
    BOOST_TEST(IsOwnOrUnknown(received), Describe(received) << " after `" << beginning << "`");
  }
}

/// Guards against a repeatable request whose caller gets a status that no endpoint sent for it.
BOOST_AUTO_TEST_CASE(RepeatableRequestIsNotAnsweredWithAJoinedStatus)
{
  for (const std::string beginning : { "HTTP/1.1 200 La", "HTTP/1.1 204 " }) {
    const ScriptedServer server(SendLateBeginning(beginning));
    const Received received = SendTwoRequests(server, RelayKind::Idempotent, beginning.size());
    BOOST_TEST(IsOwnOrUnknown(received), Describe(received) << " after `" << beginning << "`");
  }
}

/// Guards against a caller that gets a success instead of a failure whose status line is written in an unusual way.
BOOST_AUTO_TEST_CASE(BeginningIsNotJoinedWithAnUnusualStatusLine)
{
  const std::string rest = kOwnFailure.substr(kOwnFailure.find("\r\n"));
  for (const std::string line :
       { "HTTP/1.0 500 Error", "HTTP/1.1 500", "HTTP/1.1 500 ", "HTTP/1.1  500 Error",
         "HTTP/1.1\t500 Error", "HTTP/1.1 500\tError", "http/1.1 500 Error" }) {
    for (const std::string beginning :
         { "HTTP/1.1 200 La", "HTTP/1.1 204 ", "HTTP/1.1 421 ", "HTTP/1.1 200 OK\r\nDate: Sat" }) {
      const ScriptedServer server(
        RespondFirstThen(Send(kOwnFailure), Send(fmt::format("{}{}{}", beginning, line, rest))));
      const Received received = SendTwoRequests(server, RelayKind::NonIdempotent, beginning.size());
      BOOST_TEST(IsOwnOrUnknown(received),
                 Describe(received) << " after `" << beginning << "` and `" << line << "`");
      BOOST_TEST(server.Requests().size() == 2U);
    }
  }
}

/// Guards against a stream whose head comes from two responses.
BOOST_AUTO_TEST_CASE(BeginningOfALateResponseIsNotJoinedWithAStream)
{
  const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nMark: m\r\n"
                              "Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\n"
                              "id: 1\ndata: own\n\n";
  const ScriptedServer server(
    RespondFirstThen(Send(kOwnFailure), Send("HTTP/1.1 200 La" + failure)));
  RelayFixture relay({ &server });
  BOOST_REQUIRE(IsOwnOrUnknown(relay.SendRequest(RelayKind::NonIdempotent)));
  const Received received = relay.SendRequest(RelayKind::Stream);
  BOOST_TEST(!received.streamed);
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::Unknown));
}

/// Guards against a log that calls the connection of a joined head a new one, on which no late response can be.
BOOST_AUTO_TEST_CASE(AttemptWithAJoinedHeadIsReportedAsOnAReusedConnection)
{
  for (const std::string beginning : { "HTTP/1.1 200 La", "HTTP/1.1 200 OK\r\n", "H" }) {
    const ScriptedServer server(RespondFirstThen(Send(kOwnFailure), Send(beginning + kOwnFailure)));
    RelayFixture relay({ &server });
    std::vector<bool> reused;
    relay.observer.onAttemptFailed = [&](const FailedAttempt& aFailed) {
      reused.push_back(aFailed.response.onReusedConnection);
    };
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
    BOOST_TEST(reused == std::vector<bool>({ false, true }), beginning);
  }
}

/// Guards against a log that shows the status line of one endpoint's response beside the id of another endpoint.
BOOST_AUTO_TEST_CASE(EndOfARequestNamesNoResponseOfAnEarlierAttempt)
{
  const auto script = RespondFirstThen(Send(kOwnFailure), { { Kind::Wait, {}, Seconds(10) } });
  const ScriptedServer left(script);
  const ScriptedServer right(script);
  RelayFixture relay({ &left, &right });
  std::promise<std::string> statusLine;
  relay.observer.onEnded = [&](const RelayResult& aEnd) {
    statusLine.set_value(aEnd.response.statusLine);
  };
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent, false, Milliseconds(300)).error.has_value());
  BOOST_TEST(left.Requests().size() + right.Requests().size() == 2U);
  BOOST_TEST(statusLine.get_future().get() == "");
}

BOOST_AUTO_TEST_SUITE_END()
