#include "Lagoonward/Relay/RequestForwarder.h"
#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kEvents = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const std::string kStreamType = "Content-Type: text/event-stream\r\n";
const std::string kPlainType = "Content-Type: text/plain\r\n";

/// A response of the other daemon whose connection is closed in an orderly way.
Script
ClosedAfter(const std::string& aHeaders, const std::string& aBody)
{
  return { { Kind::Send, "HTTP/1.1 200 OK\r\n" + aHeaders + "\r\n" + aBody }, { Kind::Close } };
}

/// A daemon that forwards its requests to another one.
struct Fixture
{
  Fixture() { this->loop.Start(); }
  ~Fixture() { this->loop.Stop(); }

  /// Forwards a request, and waits for the response.
  Received Forward(const ScriptedServer& aOther, const std::string& aMethod = "POST")
  {
    TestCaller caller;
    ForwardRequest request;
    request.request.method = aMethod;
    request.request.target = "/a";
    request.request.body = SharedBytes(aMethod == "HEAD" ? "" : "body");
    request.id = "r1";
    request.route = std::make_shared<const RelayRoute>();
    request.receivedAt = this->clock.Now();
    request.deadline = request.receivedAt + Seconds(10);
    request.targets = { { fmt::format("127.0.0.1:{}", aOther.Port()), "token" } };
    this->loop.Post(
      [&] { this->forwarder.Forward(request, std::make_unique<TestCaller::Connection>(caller)); });
    return caller.Wait();
  }

  SystemClock clock;
  RelaySettings settings;
  ResponseMemory memory{ 1U << 20U };
  ReplyDeliveries deliveries{ this->memory };
  TrafficLoop loop{ this->clock, {} };
  RequestForwarder forwarder{ this->loop, this->settings, this->memory, this->deliveries };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestForwarderTests, Fixture)

BOOST_AUTO_TEST_CASE(WholeResponsesOfAnotherDaemonArePassedOn)
{
  const ScriptedServer streams([](const std::string&) {
    return ClosedAfter(kStreamType + "Transfer-Encoding: chunked\r\n",
                       Chunk(kEvents) + "0\r\n\r\n");
  });
  const Received stream = this->Forward(streams);
  BOOST_TEST(stream.events == kEvents);
  BOOST_TEST(!stream.aborted);
  const ScriptedServer plain(
    [](const std::string&) { return ClosedAfter(kPlainType + "Content-Length: 4\r\n", "text"); });
  const Received response = this->Forward(plain);
  BOOST_TEST_REQUIRE(response.reply.has_value());
  BOOST_TEST(response.reply->body == "text");
  // Its head is all of the response to a HEAD request
  const ScriptedServer heads([](const std::string&) { return ClosedAfter(kPlainType, ""); });
  BOOST_TEST(this->Forward(heads, "HEAD").reply.has_value());
}

/// Guards against a caller that is given a part as a whole response, as the connection between two daemons was closed.
BOOST_DATA_TEST_CASE(ResponseOfAnotherDaemonWithoutItsEndIsNotPassedOnAsWhole,
                     boost::unit_test::data::make(std::vector<std::string>{
                       "", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000\r\n" }),
                     framing)
{
  const bool isChunked = framing.starts_with("Transfer-Encoding");
  const std::string body = isChunked ? Chunk(kEvents) : kEvents;
  const ScriptedServer streams(
    [&](const std::string&) { return ClosedAfter(kStreamType + framing, body); });
  const Received stream = this->Forward(streams);
  BOOST_TEST(stream.streamed);
  BOOST_TEST(stream.aborted);
  const ScriptedServer plain(
    [&](const std::string&) { return ClosedAfter(kPlainType + framing, body); });
  const Received response = this->Forward(plain);
  BOOST_TEST(!response.reply.has_value());
  BOOST_TEST(response.error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
