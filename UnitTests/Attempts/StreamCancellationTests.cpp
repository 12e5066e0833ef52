#include "Lagoonward/Attempts/StreamCancellation.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>

using namespace lagoonward;

namespace {

/// Whether a stream counts as stopped if its engine responds to the DELETE request with this status; 0: no response.
bool
IsStoppedByStatus(int aStatus)
{
  HttpExchangePtr unansweredExchange;
  std::string receivedRequest;
  HttpServer engine({}, [&](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
    receivedRequest = aRequest.method + " " + aRequest.path;
    if (aStatus == 0) {
      unansweredExchange = aExchange;
    } else {
      aExchange->Respond(aStatus, {}, "");
    }
  });
  BOOST_REQUIRE(engine.Start().has_value());
  const SystemClock clock;
  const std::string url = "http://127.0.0.1:" + std::to_string(engine.Port()) + "/v1/streams/s";
  std::promise<bool> stopped;
  std::optional<StreamCancellation> cancellation;
  TrafficLoop loop(clock, {});
  loop.Start();
  loop.Post([&] {
    cancellation.emplace(loop, url, Milliseconds(200),
                         [&](bool aStopped) { stopped.set_value(aStopped); });
    cancellation->Start();
  });
  const bool result = stopped.get_future().get();
  loop.Stop();
  if (unansweredExchange != nullptr) {
    unansweredExchange->Respond(200, {}, "");
  }
  BOOST_TEST(receivedRequest == "DELETE /v1/streams/s");
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamCancellationTests)

BOOST_AUTO_TEST_CASE(OnlyASuccessStatusConfirmsTheStop)
{
  BOOST_TEST(IsStoppedByStatus(200));
  BOOST_TEST(IsStoppedByStatus(204));
  // 404: the stream may have run to completion
  BOOST_TEST(!IsStoppedByStatus(404));
  BOOST_TEST(!IsStoppedByStatus(500));
  BOOST_TEST(!IsStoppedByStatus(0));
}

BOOST_AUTO_TEST_SUITE_END()
