#include "Lagoonward/Wire/HttpServer.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kShortPause{ 30 };
/// Less than may be unsent, and more than the sockets of a connection hold while its caller does not read.
constexpr std::size_t kUnreadBytes = 4U << 20U;

/// A server, and a caller whose request it has received.
struct Fixture
{
  Fixture() { BOOST_TEST_REQUIRE(this->server.Start().has_value()); }

  /// @param aRequestLine  with the version that decides whether a stream is sent in chunks
  HttpExchangePtr Request(const std::string& aRequestLine, const std::string& aHeaders = {})
  {
    this->received = {};
    this->client.emplace(this->server.Port());
    this->client->Send(aRequestLine + "\r\nHost: h\r\n" + aHeaders + "\r\n");
    return this->received.get_future().get();
  }

  std::promise<HttpExchangePtr> received;
  std::optional<RawClient> client;
  HttpServer server{ { .limits = { .idleTimeout = Seconds(1) } },
                     [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
                       this->received.set_value(aExchange);
                     } };
};

/// Begins a stream and lets the caller read its first event.
void
BeginWithOneEvent(HttpExchange& aExchange, RawClient& aClient)
{
  aExchange.BeginStream(200, {});
  BOOST_TEST(aExchange.Write("first"));
  BOOST_TEST(aClient.Read("first").ends_with("first"));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(UndelimitedStreamTests, Fixture)

/// Guards against a caller without chunks that takes a stream that was broken off between two events for a whole one.
BOOST_AUTO_TEST_CASE(AbortedStreamWithoutChunksEndsWithAReset)
{
  for (const char* line : { "GET / HTTP/1.0", "POST / HTTP/1.0" }) {
    for (const char* headers : { "", "Connection: keep-alive\r\n" }) {
      const HttpExchangePtr exchange = this->Request(line, headers);
      BeginWithOneEvent(*exchange, *this->client);
      BOOST_TEST(exchange->Write("second"));
      exchange->AbortStream();
      BOOST_TEST(this->client->ReadToEnd() == "second");
      BOOST_TEST(this->client->WasReset(), line);
    }
  }
}

/// Guards against a caller without chunks that takes a head and nothing more for a whole, empty stream.
BOOST_AUTO_TEST_CASE(StreamWithoutChunksThatIsAbortedBeforeItsFirstEventEndsWithAReset)
{
  for (const bool pauses : { false, true }) {
    const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
    exchange->BeginStream(200, {});
    if (pauses) {
      std::this_thread::sleep_for(kShortPause);
    }
    exchange->AbortStream();
    static_cast<void>(this->client->ReadToEnd());
    BOOST_TEST(this->client->WasReset(), "with a pause: " << pauses);
  }
}

/// Guards against a caller without chunks that takes what it received of a discarded stream for all of it.
BOOST_AUTO_TEST_CASE(DiscardedStreamWithoutChunksEndsWithAReset)
{
  for (const std::size_t unread : { std::size_t(0), kUnreadBytes }) {
    const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
    BeginWithOneEvent(*exchange, *this->client);
    BOOST_TEST(exchange->Write(std::string(unread, 'x')));
    exchange->Discard();
    static_cast<void>(this->client->ReadToEnd());
    BOOST_TEST(this->client->WasReset(), "unread bytes: " << unread);
  }
}

/// Guards against a caller without chunks that sees a whole stream as a broken one, or loses the end of it.
BOOST_AUTO_TEST_CASE(WholeStreamWithoutChunksEndsWithAnOrderlyClose)
{
  for (const std::size_t rest : { std::size_t(0), std::size_t(6), kUnreadBytes }) {
    const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
    BeginWithOneEvent(*exchange, *this->client);
    BOOST_TEST(exchange->Write(std::string(rest, 'x')));
    exchange->EndStream();
    std::this_thread::sleep_for(kShortPause);
    BOOST_TEST(this->client->ReadToEnd().size() == rest);
    BOOST_TEST(!this->client->WasReset(), "bytes after the first event: " << rest);
  }
  // Its head is all of the answer to a HEAD request
  const HttpExchangePtr exchange = this->Request("HEAD / HTTP/1.0");
  exchange->BeginStream(200, {});
  exchange->EndStream();
  BOOST_TEST(this->client->ReadToEnd().ends_with("\r\n\r\n"));
  BOOST_TEST(!this->client->WasReset());
}

/// Guards against a caller with chunks that loses events which were sent before its stream was broken off.
BOOST_AUTO_TEST_CASE(AbortedChunkedStreamDeliversItsEventsAndLacksTheFinalChunk)
{
  for (const char* headers : { "", "Connection: close\r\n" }) {
    const HttpExchangePtr exchange = this->Request("GET / HTTP/1.1", headers);
    exchange->BeginStream(200, {});
    const std::string events(kUnreadBytes / 4, 'x');
    BOOST_TEST(exchange->Write(events));
    exchange->AbortStream();
    const std::string answer = this->client->ReadToEnd();
    BOOST_TEST(!this->client->WasReset());
    BOOST_TEST(answer.find("Transfer-Encoding: chunked") != std::string::npos);
    BOOST_TEST(std::count(answer.begin(), answer.end(), 'x') >= std::ptrdiff_t(events.size()));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
  }
}

/// Guards against a caller that does not read, and takes what the idle timeout left of its stream for all of it.
BOOST_AUTO_TEST_CASE(StreamWithoutChunksThatIsCutByTheIdleTimeoutEndsWithAReset)
{
  const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
  exchange->BeginStream(200, {});
  BOOST_TEST(exchange->Write(std::string(kUnreadBytes, 'x')));
  exchange->EndStream();
  while (this->server.OpenExchanges() > 0) {
    std::this_thread::sleep_for(kShortPause);
  }
  BOOST_TEST(this->client->ReadToEnd().size() < kUnreadBytes);
  BOOST_TEST(this->client->WasReset());
}

/// Guards against callers without chunks that take what they have of their streams for all of it when the server stops.
BOOST_AUTO_TEST_CASE(StreamWithoutChunksThatIsOpenWhenTheServerStopsEndsWithAReset)
{
  constexpr int kCallers = 50;
  std::vector<RawClient> clients;
  std::vector<HttpExchangePtr> exchanges;
  for (int caller = 0; caller < kCallers; ++caller) {
    exchanges.push_back(this->Request("GET / HTTP/1.0"));
    BeginWithOneEvent(*exchanges.back(), *this->client);
    clients.push_back(std::move(*this->client));
  }
  for (const HttpExchangePtr& exchange : exchanges) {
    exchange->AbortStream();
  }
  this->server.Stop();
  for (RawClient& each : clients) {
    static_cast<void>(each.ReadToEnd());
    BOOST_TEST(each.WasReset());
  }
}

/// Guards against a slow caller without chunks that takes the part of an ended stream that it got for all of it.
BOOST_AUTO_TEST_CASE(StreamWithoutChunksOfWhichBytesAreUnsentWhenTheServerStopsEndsWithAReset)
{
  const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
  BeginWithOneEvent(*exchange, *this->client);
  BOOST_TEST(exchange->Write(std::string(kUnreadBytes, 'x')));
  exchange->EndStream();
  std::this_thread::sleep_for(kShortPause);
  this->server.Stop();
  BOOST_TEST(this->client->ReadToEnd().size() < kUnreadBytes);
  BOOST_TEST(this->client->WasReset());
}

/// Guards against a response of known length that a caller without chunks can't tell from one that was cut.
BOOST_AUTO_TEST_CASE(ResponseOfKnownLengthStatesItToACallerWithoutChunks)
{
  for (const bool isDiscarded : { false, true }) {
    const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
    exchange->Respond(200, {}, std::string(kUnreadBytes, 'x'));
    const std::string head = this->client->Read("\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: " + std::to_string(kUnreadBytes)) != std::string::npos);
    if (isDiscarded) {
      exchange->Discard();
    }
    const std::size_t body =
      head.size() - head.find("\r\n\r\n") - 4 + this->client->ReadToEnd().size();
    BOOST_TEST((body == kUnreadBytes) == !isDiscarded);
  }
}

/// Guards against a caller without chunks that takes a closed connection for an answer though none was given.
BOOST_AUTO_TEST_CASE(RequestThatIsAbortedBeforeItsResponseGetsNoBytes)
{
  const HttpExchangePtr exchange = this->Request("GET / HTTP/1.0");
  exchange->AbortStream();
  BOOST_TEST(this->client->ReadToEnd().empty());
}

BOOST_AUTO_TEST_SUITE_END()
