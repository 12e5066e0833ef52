#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpServer.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;

namespace {

/// Collects the response of one transfer.
class CollectingObserver final : public HttpTransferObserver
{
public:
  void OnBytes(int, std::string_view aBytes) override { this->body.append(aBytes); }
  void OnEnd(const TransferEnd& aEnd) override { this->end.set_value(aEnd); }

  std::string body;
  std::promise<TransferEnd> end;
};

/// A server with the given handler and a client loop.
struct ServerAndClient
{
  explicit ServerAndClient(HttpServer::Handler aHandler)
    : server({ .limits = { .maximumBodyBytes = 100 } }, std::move(aHandler))
    , loop(clock, {})
  {
    BOOST_REQUIRE(this->server.Start().has_value());
    this->loop.Start();
  }

  TransferEnd Fetch(HttpTransferRequest aRequest, CollectingObserver& aObserver)
  {
    aRequest.url = "http://127.0.0.1:" + std::to_string(this->server.Port()) + aRequest.url;
    this->loop.Post([&] { this->loop.StartTransfer(aRequest, aObserver); });
    return aObserver.end.get_future().get();
  }

  SystemClock clock;
  HttpServer server;
  TrafficLoop loop;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpTests)

BOOST_AUTO_TEST_CASE(RespondsImmediately)
{
  ServerAndClient fixture([](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
    aExchange->Respond(201, {}, aRequest.method + aRequest.path + aRequest.body.Text());
  });
  CollectingObserver observer;
  const TransferEnd end = fixture.Fetch({ .method = "POST", .url = "/x", .body = "abc" }, observer);
  BOOST_TEST((end.outcome == TransferOutcome::Complete));
  BOOST_TEST(end.status == 201);
  BOOST_TEST(observer.body == "POST/xabc");
}

BOOST_AUTO_TEST_CASE(StreamsResponseFromAnotherThread)
{
  std::thread writer;
  ServerAndClient fixture([&](const HttpRequest&, const HttpExchangePtr& aExchange) {
    writer = std::thread([aExchange] {
      aExchange->BeginStream(200, {});
      for (int piece = 0; piece < 1000; ++piece) {
        aExchange->Write(std::to_string(piece) + ",");
      }
      aExchange->EndStream();
    });
  });
  std::string expected;
  for (int piece = 0; piece < 1000; ++piece) {
    expected += std::to_string(piece) + ",";
  }
  CollectingObserver observer;
  BOOST_TEST((fixture.Fetch({ .url = "/" }, observer).outcome == TransferOutcome::Complete));
  BOOST_TEST(observer.body == expected);
  writer.join();
}

BOOST_AUTO_TEST_CASE(RejectsOversizedBody)
{
  ServerAndClient fixture([](const HttpRequest&, const HttpExchangePtr& aExchange) {
    aExchange->Respond(200, {}, "handled");
  });
  CollectingObserver observer;
  const TransferEnd end =
    fixture.Fetch({ .method = "POST", .url = "/", .body = std::string(101, 'a') }, observer);
  BOOST_TEST(end.status == 413);
  BOOST_TEST(observer.body.find("body_too_large") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionEndsAsNotSent)
{
  ServerAndClient fixture([](const HttpRequest&, const HttpExchangePtr&) {});
  fixture.server.Stop();
  HttpServer unused({}, [](const HttpRequest&, const HttpExchangePtr&) {});
  BOOST_REQUIRE(unused.Start().has_value());
  const std::string url = "http://127.0.0.1:" + std::to_string(unused.Port());
  unused.Stop();
  CollectingObserver observer;
  fixture.loop.Post(
    [&] { fixture.loop.StartTransfer({ .method = "POST", .url = url }, observer); });
  BOOST_TEST((observer.end.get_future().get().outcome == TransferOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(StopListeningRefusesNewConnectionsAndFinishesOpenExchanges)
{
  std::promise<HttpExchangePtr> received;
  ServerAndClient fixture(
    [&](const HttpRequest&, const HttpExchangePtr& aExchange) { received.set_value(aExchange); });
  CollectingObserver observer;
  const std::string url = "http://127.0.0.1:" + std::to_string(fixture.server.Port());
  fixture.loop.Post([&] { fixture.loop.StartTransfer({ .url = url }, observer); });
  const HttpExchangePtr exchange = received.get_future().get();
  fixture.server.StopListening();

  // A new connection is refused; the request on the open connection receives its response
  CollectingObserver late;
  fixture.loop.Post([&] { fixture.loop.StartTransfer({ .url = url }, late); });
  BOOST_TEST((late.end.get_future().get().outcome == TransferOutcome::NotSent));
  exchange->Respond(200, {}, "whole");
  BOOST_TEST(observer.end.get_future().get().status == 200);
  BOOST_TEST(observer.body == "whole");
}

BOOST_AUTO_TEST_CASE(CancelledTransferDoesNotCallItsObserver)
{
  std::promise<HttpExchangePtr> received;
  ServerAndClient fixture(
    [&](const HttpRequest&, const HttpExchangePtr& aExchange) { received.set_value(aExchange); });
  CollectingObserver observer;
  TransferId transfer = 0;
  const std::string url = "http://127.0.0.1:" + std::to_string(fixture.server.Port());
  fixture.loop.Post([&] { transfer = fixture.loop.StartTransfer({ .url = url }, observer); });
  const HttpExchangePtr exchange = received.get_future().get();
  std::promise<void> cancelled;
  fixture.loop.Post([&] {
    fixture.loop.CancelTransfer(transfer);
    fixture.loop.RunAfter(Milliseconds(20), [&] { cancelled.set_value(); });
  });
  cancelled.get_future().get();
  BOOST_TEST(exchange->IsCallerDisconnected());
  exchange->Respond(200, {}, "late");
  fixture.loop.Stop();
  BOOST_TEST(observer.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()
