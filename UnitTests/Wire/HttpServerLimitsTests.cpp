#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpServer.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <atomic>
#include <deque>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kMemory = 16 * kMegabyte;

/// A server with little memory that responds with the length of the body.
class SmallServer
{
public:
  explicit SmallServer(HttpServerSettings aSettings = {})
    : table(std::make_shared<ConnectionTable>(
        ConnectionTableSettings{ .maximumRequestMemory = kMemory }, clock))
    , server(
        std::move(aSettings),
        [this](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
          ++this->requests;
          aExchange->Respond(200, {}, std::to_string(aRequest.body.Size()) + ".");
        },
        table)
  {
    BOOST_TEST(this->server.Start().has_value());
  }

  /// Sends a request and returns its response up to the full stop of its body, or to the end of the connection.
  std::string Send(RawClient& aClient, std::size_t aBody)
  {
    aClient.Send(fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", aBody) +
                 std::string(aBody, 'x'));
    return aClient.Read(".");
  }

  SystemClock clock;
  std::shared_ptr<ConnectionTable> table;
  std::atomic<int> requests{ 0 };
  HttpServer server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerLimitsTests)

/// Guards against unfinished bodies that fill the memory, and against a crowd of them that keeps others out.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesStayWithinTheMemoryAndOthersAreServed)
{
  for (const bool isChunked : { false, true }) {
    SmallServer small;
    std::deque<RawClient> crowd;
    for (int number = 0; number < 12; ++number) {
      RawClient& client = crowd.emplace_back(small.server.Port());
      client.Send(isChunked
                    ? "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n"
                    : "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n");
      client.Send(std::string(4 * kMegabyte - 1, 'x'));
    }
    RawClient ordinary(small.server.Port());
    BOOST_TEST(small.Send(ordinary, 2).ends_with("\r\n\r\n2."));
    BOOST_TEST(small.table->Held() <= kMemory);
    BOOST_TEST(small.table->Closed() > 0U);
    BOOST_TEST(small.requests == 1);
  }
}

/// Guards against memory that stays counted after its requests have ended, until nothing is served any more.
BOOST_AUTO_TEST_CASE(MemoryIsFreeAgainOnceRequestsHaveEnded)
{
  SmallServer small({ .limits = { .idleTimeout = Milliseconds(1000) } });
  for (int number = 0; number < 10; ++number) {
    RawClient client(small.server.Port());
    BOOST_TEST(small.Send(client, 4 * kMegabyte).ends_with("\r\n\r\n4194304."));
  }
  for (int number = 0; number < 10; ++number) {
    RawClient client(small.server.Port());
    client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n123");
  }
  const auto begun = std::chrono::steady_clock::now();
  while (small.table->Held() > 0 &&
         std::chrono::steady_clock::now() - begun < std::chrono::seconds(20)) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  BOOST_TEST(small.table->Held() == 0U);
  BOOST_TEST(small.table->Closed() == 0U);
}

/// Guards against limits that are fixed when the server starts.
BOOST_AUTO_TEST_CASE(LimitsChangeWhileTheServerRuns)
{
  SmallServer small;
  RawClient client(small.server.Port());
  BOOST_TEST(small.Send(client, 2 * kMegabyte).ends_with("\r\n\r\n2097152."));
  small.server.SetLimits({ .maximumBodyBytes = kMegabyte });
  BOOST_TEST(small.Send(client, kMegabyte).ends_with("\r\n\r\n1048576."));
  RawClient over(small.server.Port());
  BOOST_TEST(small.Send(over, kMegabyte + 1).starts_with("HTTP/1.1 413"));
  small.server.SetLimits({ .maximumBodyBytes = 8 * kMegabyte });
  BOOST_TEST(small.Send(client, 6 * kMegabyte).ends_with("\r\n\r\n6291456."));
  small.server.SetLimits({ .maximumHeaderBytes = 100 });
  RawClient longHead(small.server.Port());
  longHead.Send("GET / HTTP/1.1\r\nHost: h\r\nFiller: " + std::string(100, 'x') + "\r\n\r\n");
  BOOST_TEST(longHead.Read(".").starts_with("HTTP/1.1 431"));
}

/// Guards against a body for which there will be no memory and that is received all the same, and against a refusal that
/// does not say that the request may be repeated.
BOOST_AUTO_TEST_CASE(AnnouncedBodyWithoutMemoryIsRefusedWithRetryAfter)
{
  SmallServer small;
  small.server.SetLimits({ .maximumBodyBytes = 2 * kMemory });
  RawClient client(small.server.Port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000000\r\n\r\n");
  const std::string answer = client.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
  BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
  BOOST_TEST(answer.find("\"ran\":\"no\"") != std::string::npos);
  BOOST_TEST(small.requests == 0);
}

/// Guards against a server for probes that collects bodies.
BOOST_AUTO_TEST_CASE(ServerWithoutBodiesRefusesThem)
{
  SmallServer small({ .limits = { .maximumBodyBytes = 0 } });
  RawClient announced(small.server.Port());
  BOOST_TEST(small.Send(announced, 1).starts_with("HTTP/1.1 413"));
  RawClient chunked(small.server.Port());
  chunked.Send(
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
  BOOST_TEST(chunked.ReadToEnd().find(" 200 ") == std::string::npos);
  RawClient plain(small.server.Port());
  BOOST_TEST(small.Send(plain, 0).ends_with("\r\n\r\n0."));
}

/// Guards against connections without a request that keep new ones out.
BOOST_AUTO_TEST_CASE(NewConnectionsAreServedBesideManyIdleOnes)
{
  SmallServer small({ .maximumConnections = 10 });
  std::deque<RawClient> crowd;
  for (int number = 0; number < 50; ++number) {
    RawClient& client = crowd.emplace_back(small.server.Port());
    if (number % 2 == 0) {
      client.Send("GET / HTTP/1.1\r\nHost: h\r\n");
    }
  }
  RawClient ordinary(small.server.Port());
  BOOST_TEST(small.Send(ordinary, 2).ends_with("\r\n\r\n2."));
}

/// Guards against beginnings of request lines, of which the server is told nothing, that fill the memory.
BOOST_AUTO_TEST_CASE(UnfinishedRequestLinesStayWithinTheMemory)
{
  constexpr std::size_t kBuffer = 4 * kMegabyte;
  SmallServer small({ .connectionMemoryBytes = kBuffer });
  std::deque<RawClient> crowd;
  for (int number = 0; number < 8; ++number) {
    crowd.emplace_back(small.server.Port())
      .Send("GET /" + std::string(kBuffer / 2 - kMegabyte / 4, 'x'));
  }
  const auto begun = std::chrono::steady_clock::now();
  while (small.table->Held() == 0 &&
         std::chrono::steady_clock::now() - begun < std::chrono::seconds(5)) {
    small.table->Sweep();
    std::this_thread::sleep_for(Milliseconds(5));
  }
  for (int number = 0; number < 4; ++number) {
    crowd.emplace_back(small.server.Port())
      .Send("GET /" + std::string(kBuffer / 2 - kMegabyte / 4, 'x'));
  }
  while (small.table->Closed() == 0 &&
         std::chrono::steady_clock::now() - begun < std::chrono::seconds(10)) {
    small.table->Sweep();
    std::this_thread::sleep_for(Milliseconds(5));
  }
  BOOST_TEST(small.table->Closed() > 0U);
  RawClient ordinary(small.server.Port());
  BOOST_TEST(small.Send(ordinary, 2).ends_with("\r\n\r\n2."));
}

BOOST_AUTO_TEST_SUITE_END()
