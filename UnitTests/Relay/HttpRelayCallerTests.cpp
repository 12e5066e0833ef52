#include "Lagoonward/Relay/HttpRelayCaller.h"
#include "Lagoonward/Wire/HttpServer.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <string>

using namespace lagoonward;
using namespace lagoonward::testing;

BOOST_AUTO_TEST_SUITE(HttpRelayCallerTests)

/// Guards against a slow caller that is given a stream as a whole one although an event found no room in its buffer.
BOOST_AUTO_TEST_CASE(StreamThatLostAnEventToASlowCallerDoesNotEndAsWhole)
{
  constexpr std::size_t kMoreThanMayBeUnsent = 5U << 20U;
  std::promise<HttpExchangePtr> received;
  HttpServer server({}, [&](const HttpRequest&, const HttpExchangePtr& aExchange) {
    received.set_value(aExchange);
  });
  BOOST_TEST_REQUIRE(server.Start().has_value());
  RawClient client(server.Port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  HttpRelayCaller caller(received.get_future().get(), {});
  caller.BeginStream({ 200, {}, {} });
  caller.WriteEvent("id: 0\ndata: a\n\n");
  caller.WriteEvent("id: 1\ndata: " + std::string(kMoreThanMayBeUnsent, 'x') + "\n\n");
  caller.EndStream();
  const std::string answer = client.ReadToEnd();
  BOOST_TEST(answer.find("id: 0") != std::string::npos);
  BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
