#include "Lagoonward/Frontend/AnswerWriters.h"
#include "Lagoonward/Wire/HttpServer.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <string>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// A caller with a pending request for a stream of events, of which it is given an answer.
struct Fixture
{
  Fixture()
  {
    BOOST_TEST_REQUIRE(this->server.Start().has_value());
    this->client.emplace(this->server.Port());
    this->client->Send("POST / HTTP/1.1\r\nHost: h\r\n\r\n");
    this->answer.Subscribe(std::make_shared<EventAnswerWriter>(
      this->exchange.get_future().get(), AnswerFormat{ .stream = true, .fromToken = {} }));
  }

  std::promise<HttpExchangePtr> exchange;
  HttpServer server{ {}, [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
                      this->exchange.set_value(aExchange);
                    } };
  std::optional<RawClient> client;
  Answer answer{ "r", "m", 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerWritersTests, Fixture)

BOOST_AUTO_TEST_CASE(WholeStreamEndsWithItsLastEventAndTheFinalChunk)
{
  this->answer.Append("first");
  this->answer.Publish();
  this->answer.Finish("stop");
  const std::string received = this->client->Read("0\r\n\r\n");
  BOOST_TEST(received.find("data: [DONE]") != std::string::npos);
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
}

/// Guards against a slow caller that is given a stream as a whole one although a token found no room in its buffer.
BOOST_AUTO_TEST_CASE(StreamThatLostATokenToASlowCallerDoesNotEndAsWhole)
{
  constexpr std::size_t kMoreThanMayBeUnsent = 5U << 20U;
  this->answer.Append("first");
  this->answer.Publish();
  this->answer.Append(std::string(kMoreThanMayBeUnsent, 'x'));
  this->answer.Publish();
  this->answer.Finish("stop");
  const std::string received = this->client->ReadToEnd();
  BOOST_TEST(received.find("first") != std::string::npos);
  BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
