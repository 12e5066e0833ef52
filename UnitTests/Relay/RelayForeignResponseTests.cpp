#include "UnitTests/Relay/RelayFixture.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <set>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kUnavailable = "503 Service Unavailable";
const std::string kMisdirected = "421 Misdirected Request";

/// A response that rejects a request.
struct Rejection
{
  std::string status;
  std::string headers;
};

std::ostream&
operator<<(std::ostream& aStream, const Rejection& aRejection)
{
  return aStream << aRejection.status << ", " << aRejection.headers;
}

/// Rejections of another request, and rejections that name none.
const std::vector<Rejection> kUnrelatedRejections{ { kUnavailable, "Id: r0\r\nNot-Run: 1\r\n" },
                                                   { kUnavailable, "Not-Run: 1\r\n" },
                                                   { kMisdirected, "Id: r0\r\n" },
                                                   { kMisdirected, "Instance: e9\r\n" } };

/// Responds to the second request with a rejection, as a server does that sends an extra response late, and after it with
/// the proper response.
ScriptedServer::Handler
SendExtraResponse(const Rejection& aRejection)
{
  return [count = std::make_shared<std::atomic<int>>(0), aRejection](const std::string&) {
    const std::string proper = MakeResponse("ran");
    const bool hasExtra = (*count)++ == 1;
    return Send(hasExtra ? MakeResponse("", aRejection.status, aRejection.headers) + proper
                         : proper);
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayForeignResponseTests)

/// Guards against a caller that is told that its request did not run although it did: an extra response to an earlier
/// request on the connection was taken for its rejection.
BOOST_DATA_TEST_CASE(RejectionOfAnotherRequestProvesNothing,
                     boost::unit_test::data::make(kUnrelatedRejections), rejection)
{
  const ScriptedServer server(SendExtraResponse(rejection));
  RelayFixture relay({ &server });
  BOOST_TEST(relay.SendRequest(RelayKind::NonIdempotent).reply->body == "ran");
  const Received second = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(second.error.has_value());
  BOOST_TEST((second.error->kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST((second.error->ran == Ran::Unknown));
  BOOST_TEST(server.Requests().size() == 2U);
}

/// Guards against requests that fail one after the other because each receives the response to the one before.
BOOST_DATA_TEST_CASE(ConnectionIsClosedAfterAResponseToAnotherRequest,
                     boost::unit_test::data::make(kUnrelatedRejections), rejection)
{
  const ScriptedServer server(SendExtraResponse(rejection));
  RelayFixture relay({ &server });
  for (int turn = 0; turn < 2; ++turn) {
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
  }
  const Received third = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(third.reply.has_value());
  BOOST_TEST(third.reply->body == "ran");
}

/// Guards against limits and notices that are taken from the response to another request.
BOOST_AUTO_TEST_CASE(NoticesOfAResponseToAnotherRequestAreIgnored)
{
  const ScriptedServer server(
    SendExtraResponse({ kUnavailable, "Id: r0\r\nNot-Run: 1\r\nLeaving: 1\r\n" }));
  RelayFixture relay({ &server });
  for (int turn = 0; turn < 2; ++turn) {
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
  }
  BOOST_TEST(relay.SendRequest(RelayKind::NonIdempotent).reply.has_value());
}

/// Guards against an extra rejection of the first send that is taken for that of the second: both name the same request.
BOOST_AUTO_TEST_CASE(RequestIsSentToAnEndpointAgainOnANewConnection)
{
  const std::string rejection = MakeResponse("", kUnavailable, "Id: r1\r\nNot-Run: 1\r\n");
  const ScriptedServer server(RespondFirstThen(
    { { Kind::Send, rejection }, { Kind::Wait, {}, Milliseconds(300) }, { Kind::Send, rejection } },
    Send(MakeResponse("ran"))));
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_REQUIRE(received.reply.has_value());
  BOOST_TEST(received.reply->body == "ran");
  BOOST_TEST(server.Requests().size() == 2U);
}

/// Guards against a stream that goes on from the state of another run: the reply to a move names no run, so a late one to
/// an earlier move must not be on its connection.
BOOST_AUTO_TEST_CASE(MoveIsAskedForOnANewConnection)
{
  std::mutex mutex;
  std::set<std::thread::id> connections; // Each is served by a thread of its own
  std::optional<std::thread::id> moveConnection;
  const auto script = [&](const std::string& aRequest) -> Script {
    const std::lock_guard lock(mutex);
    if (aRequest.starts_with("POST /move ")) {
      moveConnection = std::this_thread::get_id();
      return Send(MakeResponse("", "503 Busy"));
    }
    connections.insert(std::this_thread::get_id());
    if (aRequest.ends_with("plain")) {
      return { { Kind::Wait, {}, Milliseconds(100) }, { Kind::Send, MakeResponse("ran") } };
    }
    return { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
             { Kind::Wait, {}, Milliseconds(600) },
             { Kind::Send, Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } };
  };
  const ScriptedServer left(script);
  const ScriptedServer right(script);
  RelayFixture relay({ &left, &right });
  // Each endpoint has several idle connections when the move is asked for
  relay.body = "plain";
  std::array<TestCaller, 12> plainCallers;
  for (TestCaller& caller : plainCallers) {
    relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(5));
  }
  for (TestCaller& caller : plainCallers) {
    BOOST_TEST(caller.Wait().reply.has_value());
  }
  const std::size_t before = left.Requests().size();
  relay.body = "stream";
  TestCaller caller;
  relay.Submit(caller, RelayKind::Stream, false, Seconds(5));
  Await([&] { return caller.HasEvents(); });
  relay.MarkLeaving(left.Requests().size() > before ? left.Port() : right.Port());
  BOOST_TEST(!caller.Wait().aborted);
  BOOST_REQUIRE(moveConnection.has_value());
  BOOST_TEST(!connections.contains(*moveConnection));
}

/// The first response on a connection belongs to its request, whether it names it or not.
BOOST_AUTO_TEST_CASE(FirstRejectionOnAConnectionNeedsNoName)
{
  for (const Rejection& rejection : { kUnrelatedRejections[1], kUnrelatedRejections[3] }) {
    const ScriptedServer rejecting([&](const std::string&) {
      return Send(MakeResponse("", rejection.status, rejection.headers));
    });
    const ScriptedServer available([](const std::string&) { return Send(MakeResponse("ran")); });
    RelayFixture relay({ &rejecting, &available });
    for (int turn = 0; turn < 8; ++turn) {
      const Received received = relay.SendRequest(RelayKind::NonIdempotent);
      BOOST_REQUIRE(received.reply.has_value());
      BOOST_TEST(received.reply->body == "ran");
    }
    BOOST_TEST(!rejecting.Requests().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
