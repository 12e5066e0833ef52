#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/TrafficLoop.h"
#include "UnitTests/Support/LoopbackPeers.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>
#include <utility>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

using Kind = ScriptStep::Kind;

/// Collects what a transfer reports of its response.
class HeadObserver final : public HttpTransferObserver
{
public:
  void OnHeadComplete(const TransferHead& aHead) override { this->heads.push_back(aHead); }
  void OnBytes(int, std::string_view aBytes) override
  {
    this->body += aBytes;
    if (!std::exchange(this->hasBytes, true)) {
      this->firstBytes.set_value();
    }
  }
  void OnEnd(const TransferEnd& aEnd) override { this->end.set_value(aEnd); }

  std::vector<TransferHead> heads;
  std::string body;
  bool hasBytes = false;
  std::promise<void> firstBytes;
  std::promise<TransferEnd> end;
};

/// A client loop and a server that plays the same script for each request.
struct ScriptedTransfers
{
  explicit ScriptedTransfers(Script aScript)
    : server([script = std::move(aScript)](const std::string&) { return script; })
    , loop(clock, {})
  {
    this->loop.Start();
  }

  TransferEnd Fetch(HeadObserver& aObserver, bool aSingleSend = false)
  {
    HttpTransferRequest request;
    request.url = fmt::format("http://127.0.0.1:{}/", this->server.Port());
    request.singleSend = aSingleSend;
    this->loop.Post([&] { this->loop.StartTransfer(request, aObserver); });
    return aObserver.end.get_future().get();
  }

  SystemClock clock;
  ScriptedServer server;
  TrafficLoop loop;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TrafficLoopResponseTests)

/// Guards against a response that counts as complete although its connection was closed within its head.
BOOST_AUTO_TEST_CASE(ResponseThatEndsWithinItsHeadIsBroken)
{
  for (const char* head :
       { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\nContent-Ty",
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n" }) {
    ScriptedTransfers transfers({ { Kind::Send, head }, { Kind::Close } });
    HeadObserver observer;
    const TransferEnd end = transfers.Fetch(observer);
    BOOST_TEST((end.outcome == TransferOutcome::Broken), head);
    BOOST_TEST(observer.heads.empty());
  }
}

/// Guards against a failure that is taken for a success because its status line is malformed.
BOOST_AUTO_TEST_CASE(MalformedStatusLineHasNoStatus)
{
  for (const char* line : { "HTTP/. 500 Error", "HTTP/.1 500 Error", "HTTP/HTTP/1.1 500 Error",
                            "http/1.1 500 Error", "HTTP/1.15 500 Error", "HTTP/1 500 Error" }) {
    ScriptedTransfers transfers(
      { { Kind::Send, fmt::format("{}\r\nContent-Length: 0\r\n\r\n", line) } });
    HeadObserver observer;
    const TransferEnd end = transfers.Fetch(observer);
    BOOST_TEST((end.outcome != TransferOutcome::Complete), line);
    BOOST_TEST(observer.heads.empty());
  }
}

BOOST_AUTO_TEST_CASE(HeadIsReportedOnceAndTellsWhetherItsConnectionIsNew)
{
  ScriptedTransfers transfers({ { Kind::Send, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                                              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } });
  for (const bool isFirst : { true, false }) {
    HeadObserver observer;
    BOOST_TEST((transfers.Fetch(observer).outcome == TransferOutcome::Complete));
    BOOST_REQUIRE_EQUAL(observer.heads.size(), 1U);
    BOOST_TEST(observer.heads[0].status == 200);
    BOOST_TEST(observer.heads[0].isFirstOnConnection == isFirst);
  }
}

/// Guards against a request that receives an extra response to an earlier one, which arrived while the connection was idle:
/// libcurl reuses the connection nevertheless.
BOOST_AUTO_TEST_CASE(ConnectionWithUnreadBytesIsNotReused)
{
  for (const char* response :
       { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
         "HTTP/1.1 204 No Content\r\n\r\n" }) {
    for (const char* extra :
         { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", "HTTP/1.1 200 La", "x" }) {
      ScriptedTransfers transfers(
        { { Kind::Send, response }, { Kind::Wait, {}, Milliseconds(100) }, { Kind::Send, extra } });
      for (int turn = 0; turn < 3; ++turn) {
        HeadObserver observer;
        BOOST_TEST((transfers.Fetch(observer).outcome == TransferOutcome::Complete));
        BOOST_TEST(observer.body != "extra");
        BOOST_REQUIRE_EQUAL(observer.heads.size(), 1U);
        BOOST_TEST(observer.heads[0].isFirstOnConnection);
        Await([&] { return transfers.server.CompletedScripts() == turn + 1; });
      }
      BOOST_TEST(transfers.server.Requests().size() == 3U);
    }
  }
}

/// Guards against a request that was withheld from a connection with unread bytes and then counts as sent twice.
BOOST_AUTO_TEST_CASE(SingleSendRequestMovesToANewConnectionBeforeItIsSent)
{
  ScriptedTransfers transfers({ { Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown" },
                                { Kind::Wait, {}, Milliseconds(100) },
                                { Kind::Send, "x" } });
  for (int turn = 0; turn < 2; ++turn) {
    HeadObserver observer;
    BOOST_TEST((transfers.Fetch(observer, true).outcome == TransferOutcome::Complete));
    Await([&] { return transfers.server.CompletedScripts() == turn + 1; });
  }
  BOOST_TEST(transfers.server.Requests().size() == 2U);
}

/// Guards against a transfer that is stopped from outside its callbacks and keeps its connection until more bytes arrive.
BOOST_AUTO_TEST_CASE(StoppedTransferEndsThoughNoMoreBytesArrive)
{
  ScriptedTransfers transfers({ { Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx" },
                                { Kind::Wait, {}, Seconds(20) } });
  HeadObserver observer;
  HttpTransferRequest request;
  request.url = fmt::format("http://127.0.0.1:{}/", transfers.server.Port());
  TransferId transfer = 0;
  transfers.loop.Post([&] { transfer = transfers.loop.StartTransfer(request, observer); });
  observer.firstBytes.get_future().get();
  transfers.loop.Post([&] { transfers.loop.StopTransfer(transfer); });
  auto end = observer.end.get_future();
  BOOST_TEST_REQUIRE((end.wait_for(Seconds(5)) == std::future_status::ready));
  BOOST_TEST((end.get().outcome == TransferOutcome::Stopped));
}

BOOST_AUTO_TEST_SUITE_END()
