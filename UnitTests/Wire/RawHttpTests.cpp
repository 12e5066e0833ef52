#include "Lagoonward/Wire/HttpServer.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Bytes of a stream that may be unsent.
constexpr std::size_t kMaximumUnsent = 4U << 20U;
constexpr std::size_t kLongStream = 16 * kMaximumUnsent;

/// A server that records its requests and responds with "ok" unless `waits` is set.
class RecordingServer
{
public:
  RecordingServer()
    : server({}, [this](HttpRequest aRequest, const HttpExchangePtr& aExchange) {
      const std::lock_guard lock(this->mutex);
      this->requests.push_back(std::move(aRequest));
      this->exchange = aExchange;
      if (!this->waits) {
        aExchange->Respond(200, {}, "ok");
      }
      this->changed.notify_all();
    })
  {
    BOOST_TEST(this->server.Start().has_value());
  }

  ~RecordingServer()
  {
    if (this->exchange != nullptr) {
      this->exchange->AbortStream();
    }
    this->server.Stop();
  }

  /// Waits for the first request and returns its exchange.
  HttpExchangePtr Await()
  {
    std::unique_lock lock(this->mutex);
    BOOST_TEST(this->changed.wait_for(lock, std::chrono::seconds(10),
                                      [&] { return this->exchange != nullptr; }));
    return this->exchange;
  }

  std::size_t Count()
  {
    const std::lock_guard lock(this->mutex);
    return this->requests.size();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<HttpRequest> requests;
  HttpExchangePtr exchange;
  bool waits = false;
  HttpServer server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RawHttpTests)

BOOST_AUTO_TEST_CASE(TargetIsNotNormalized)
{
  RecordingServer recorder;
  RawClient client(recorder.server.Port());
  client.Send("GET /a%2Fb/../c?x=%41&y HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(client.Read("ok").starts_with("HTTP/1.1 200"));
  BOOST_TEST(recorder.requests.at(0).target == "/a%2Fb/../c?x=%41&y");
}

BOOST_AUTO_TEST_CASE(RejectsRequestsWithAmbiguousFraming)
{
  for (const char* headers : {
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 5\r\nContent-Length: 6\r\n",
         "Content-Length: 5\r\nContent-Length: 5\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Content-Length: +5\r\n",
       }) {
    RecordingServer recorder;
    RawClient client(recorder.server.Port());
    client.Send(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + headers +
                "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = client.ReadToEnd();
    BOOST_TEST(answer.find(" 200 ") == std::string::npos);
    BOOST_TEST(recorder.Count() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(RejectsAMalformedChunk)
{
  RecordingServer recorder;
  RawClient client(recorder.server.Port());
  client.Send(
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST(client.ReadToEnd().find(" 200 ") == std::string::npos);
  BOOST_TEST(recorder.Count() == 0U);
}

BOOST_AUTO_TEST_CASE(DetectsACallerThatDisconnectsWhileItsResponseIsPending)
{
  for (const bool half : { true, false }) {
    RecordingServer recorder;
    recorder.waits = true;
    RawClient client(recorder.server.Port());
    client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const HttpExchangePtr exchange = recorder.Await();
    BOOST_TEST(!exchange->IsCallerDisconnected());
    if (half) {
      client.CloseSendingHalf();
    } else {
      client.Close();
    }
    const auto begun = std::chrono::steady_clock::now();
    while (!exchange->IsCallerDisconnected() &&
           std::chrono::steady_clock::now() - begun < std::chrono::seconds(5)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    BOOST_TEST(exchange->IsCallerDisconnected());
  }
}

BOOST_AUTO_TEST_CASE(AnAbortedStreamLacksTheFinalChunk)
{
  RecordingServer recorder;
  recorder.waits = true;
  RawClient client(recorder.server.Port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const HttpExchangePtr exchange = recorder.Await();
  exchange->BeginStream(200, {});
  BOOST_TEST(exchange->Write("first"));
  BOOST_TEST(client.Read("first").find("first") != std::string::npos);
  exchange->AbortStream();
  BOOST_TEST(client.ReadToEnd().find("0\r\n\r\n") == std::string::npos);
}

// Guards against a caller that waits for the end of a stream without events until it gives up
BOOST_AUTO_TEST_CASE(StreamWithoutEventsEndsAtOnce)
{
  for (const bool pauses : { false, true }) {
    RecordingServer recorder;
    recorder.waits = true;
    RawClient client(recorder.server.Port());
    client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const HttpExchangePtr exchange = recorder.Await();
    exchange->BeginStream(200, {});
    if (pauses) {
      std::this_thread::sleep_for(Milliseconds(50));
    }
    exchange->EndStream();
    BOOST_TEST(client.Read("0\r\n\r\n").ends_with("0\r\n\r\n"), "with a pause: " << pauses);
  }
}

/// Guards against a stream whose bytes are kept after they were sent because its caller never catches up.
BOOST_AUTO_TEST_CASE(SentBytesOfAStreamAreFreedThoughItsCallerLags)
{
  RecordingServer recorder;
  recorder.waits = true;
  RawClient client(recorder.server.Port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const HttpExchangePtr exchange = recorder.Await();
  exchange->BeginStream(200, {});
  const std::string block(64U << 10U, 'x');
  std::size_t most = 0;
  for (std::size_t written = 0; written < kLongStream; written += block.size()) {
    while (!exchange->Write(block)) {
      BOOST_TEST_REQUIRE(client.Skip(4 * block.size()) > 0U);
    }
    most = std::max(most, exchange->HeldBytes());
  }
  // Twice what may be unsent, in a buffer that grows by doubling
  BOOST_TEST(most <= 4 * kMaximumUnsent);
}

/// Guards against memory that a discarded response still occupies, and against one that looks complete.
BOOST_AUTO_TEST_CASE(DiscardedResponseOccupiesNoMemoryAndIsTruncated)
{
  for (const bool isStream : { false, true }) {
    RecordingServer recorder;
    recorder.waits = true;
    RawClient client(recorder.server.Port());
    client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const HttpExchangePtr exchange = recorder.Await();
    const std::size_t length = isStream ? kMaximumUnsent : kLongStream;
    if (isStream) {
      exchange->BeginStream(200, {});
      BOOST_TEST(exchange->Write(std::string(length, 'x')));
    } else {
      exchange->Respond(200, {}, std::string(length, 'x'));
    }
    // The head shows that the server has begun to send
    BOOST_TEST(client.Read("\r\n\r\n").starts_with("HTTP/1.1 200"));
    exchange->Discard();
    BOOST_TEST(!client.ReadToEnd().ends_with("0\r\n\r\n"));
    const auto begun = std::chrono::steady_clock::now();
    while (exchange->HeldBytes() > 0 &&
           std::chrono::steady_clock::now() - begun < std::chrono::seconds(5)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    BOOST_TEST(exchange->HeldBytes() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ConnectionsCloseAfterTheirResponseWhileStillListening)
{
  RecordingServer recorder;
  recorder.server.CloseAfterResponses();
  RawClient client(recorder.server.Port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answer = client.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
