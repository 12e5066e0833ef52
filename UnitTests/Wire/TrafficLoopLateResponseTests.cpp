#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpHeaderLine.h"
#include "Lagoonward/Wire/TrafficLoop.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

using Kind = ScriptStep::Kind;

/// Responses to an earlier request, r0, as an endpoint may send them once more.
const std::vector<std::string> kLateResponses{
  "HTTP/1.1 200 OK\r\nDate: today\r\nId: r0\r\nContent-Length: 4\r\n\r\nlate",
  "HTTP/1.0 200\r\nid: r0\r\ncontent-length: 4\r\n\r\nlate",
  "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\te\r\nId:\r\n r0\r\n\r\n",
  "HTTP/1.1 200 OK\nA: b\nId: r0\nContent-Length: 4\n\nlate",
  "HTTP/1.1 200 OK\r\r\nA: b\r\r\nContent-Length: 4\r\r\n\r\r\nlate",
  ("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n"
   "B: c\r\n\r\n"),
  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n",
};

/// Responses with status 500 and the body `own` to the request r1.
const std::vector<std::string> kDueResponses{
  "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nContent-Length: 3\r\n\r\nown",
  "HTTP/1.0 500\nid: r1\ncontent-length: 3\n\nown",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 \r\nId: r1\r\nContent-Length: 3\r\n\r\nown",
  "HTTP/1.1 500 Error\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nB: c\r\n\r\n",
};

/// Stops its transfer, as requests do, if the response names another request than r1 or none.
class NamedObserver final : public HttpTransferObserver
{
public:
  explicit NamedObserver(TrafficLoop& aLoop)
    : loop(aLoop)
  {
  }

  TransferEnd Fetch(const HttpTransferRequest& aRequest)
  {
    this->loop.Post([&] { this->transfer = this->loop.StartTransfer(aRequest, *this); });
    return this->end.get_future().get();
  }

  void OnHeaderLine(std::string_view aLine) override
  {
    this->isNamed = (this->isNamed && !IsStatusLine(aLine)) || boost::iequals(aLine, "id: r1");
  }
  void OnHeadComplete(const TransferHead& /*aHead*/) override
  {
    if (!this->isNamed) {
      this->loop.StopTransfer(this->transfer);
    }
  }
  void OnBytes(int /*aStatus*/, std::string_view aBytes) override { this->body.append(aBytes); }
  void OnEnd(const TransferEnd& aEnd) override { this->end.set_value(aEnd); }

  std::string body;

private:
  TrafficLoop& loop;
  TransferId transfer = 0;
  bool isNamed = false;
  std::promise<TransferEnd> end;
};

/// A client loop that keeps one idle connection, and a server that responds to a request for `/n` with the first n bytes of
/// a late response within the due one.
class LateResponder
{
public:
  /// @param aPosition  where in the due response the bytes of the late one are
  LateResponder(const std::string& aLate, const std::string& aDue, std::size_t aPosition)
    : server([=](const std::string& aRequest) -> Script {
      const std::size_t length = std::strtoul(aRequest.c_str() + sizeof("GET /") - 1, nullptr, 10);
      std::string bytes = aDue;
      return { { Kind::Send, bytes.insert(aPosition, aLate, 0, length) } };
    })
    , loop(clock, { .maximumIdleConnections = 1 })
  {
    this->loop.Start();
  }

  /// Gets the due response on a new connection, and then another one with the late bytes.
  /// @return what is wrong with the second result; empty for the due response or none
  std::string FindFault(std::size_t aLength)
  {
    HttpTransferRequest request;
    request.url = fmt::format("http://127.0.0.1:{}/0", this->server.Port());
    request.freshConnection = true;
    request.timeout = Seconds(5);
    BOOST_TEST((NamedObserver(this->loop).Fetch(request).outcome == TransferOutcome::Complete));
    request.url = fmt::format("http://127.0.0.1:{}/{}", this->server.Port(), aLength);
    request.freshConnection = false;
    request.singleSend = true;
    NamedObserver observer(this->loop);
    const TransferEnd end = observer.Fetch(request);
    if (end.outcome == TransferOutcome::NotSent || end.outcome == TransferOutcome::TimedOut) {
      return end.message;
    }
    const bool isDue = end.status == 500 && observer.body == "own";
    return end.outcome != TransferOutcome::Complete || isDue
             ? std::string()
             : fmt::format("status {}, body {}", end.status, observer.body);
  }

private:
  SystemClock clock;
  ScriptedServer server;
  TrafficLoop loop;
};

void
CheckAllLengths(const std::string& aLate, const std::string& aDue, std::size_t aPosition)
{
  LateResponder responder(aLate, aDue, aPosition);
  for (std::size_t length = 1; length <= aLate.size(); ++length) {
    const std::string fault = responder.FindFault(length);
    BOOST_TEST(fault.empty(), fault << " for `" << aLate.substr(0, length) << "` in `" << aDue
                                    << "` at " << aPosition);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TrafficLoopLateResponseTests)

/// Guards against a response that is put together from a late one, cut anywhere, and the due one.
BOOST_AUTO_TEST_CASE(BeginningOfALateResponseChangesNoResponse)
{
  for (const std::string& late : kLateResponses) {
    for (const std::string& due : kDueResponses) {
      CheckAllLengths(late, due, 0);
    }
  }
}

/// Guards against the same where the late one arrives before the trailers of the due one.
BOOST_AUTO_TEST_CASE(BeginningOfALateResponseBeforeTrailersChangesNoResponse)
{
  const std::string& due = kDueResponses.back();
  for (const std::string& late : kLateResponses) {
    CheckAllLengths(late, due, due.find("B: c"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
