#include "Lagoonward/Attempts/StreamStop.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>

using namespace lagoonward;

namespace {

/// Whether a stream counts as over when its engine answers the stop with a status; 0: not at all.
bool
StopsAt(int aStatus)
{
  HttpExchangePtr silent;
  std::string asked;
  HttpServer engine({}, [&](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
    asked = aRequest.method + " " + aRequest.path;
    if (aStatus == 0) {
      silent = aExchange;
    } else {
      aExchange->Respond(aStatus, {}, "");
    }
  });
  BOOST_REQUIRE(engine.Start().has_value());
  const SystemClock clock;
  const std::string url = "http://127.0.0.1:" + std::to_string(engine.Port()) + "/v1/streams/s";
  std::promise<bool> stopped;
  std::optional<StreamStop> stop;
  TrafficLoop loop(clock, {});
  loop.Start();
  loop.Post([&] {
    stop.emplace(loop, url, Milliseconds(200), [&](bool aStopped) { stopped.set_value(aStopped); });
    stop->Start();
  });
  const bool result = stopped.get_future().get();
  loop.Stop();
  if (silent != nullptr) {
    silent->Respond(200, {}, "");
  }
  BOOST_TEST(asked == "DELETE /v1/streams/s");
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamStopTests)

BOOST_AUTO_TEST_CASE(OnlyTheEnginesWordCounts)
{
  BOOST_TEST(StopsAt(200));
  BOOST_TEST(StopsAt(204));
  // The stream may have run to its end
  BOOST_TEST(!StopsAt(404));
  BOOST_TEST(!StopsAt(500));
  BOOST_TEST(!StopsAt(0));
}

BOOST_AUTO_TEST_SUITE_END()
