#include "Lagoonward/Daemon/HttpOrderSender.h"
#include "UnitTests/Support/FakeHttpServer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

BOOST_AUTO_TEST_SUITE(HttpOrderSenderTests)

BOOST_AUTO_TEST_CASE(OrderIsSentAndEachStatusMapsToItsErrorKind)
{
  FakeAnswer answer{ 200, R"({"order_id":"o","state":"accepted"})", {} };
  FakeRequest last;
  FakeHttpServer server([&](const FakeRequest& aRequest) {
    last = aRequest;
    return answer;
  });
  Endpoint engine;
  engine.address = "127.0.0.1";
  engine.port =
    static_cast<std::uint16_t>(std::stoi(server.Url().substr(server.Url().rfind(':') + 1)));
  PlacementOrder order;
  order.id = "o";
  order.model = "permit";
  order.version = "1";
  order.adapter = "county";
  order.adapterVersion = "7";
  HttpOrderSender sender{ PlatformSettings{} };
  BOOST_TEST(sender.Send(engine, order, 12).has_value());
  BOOST_TEST(last.path == "/v1/orders");
  const auto body = nlohmann::json::parse(last.body);
  BOOST_TEST(body.at("kind") == "load");
  BOOST_TEST(body.at("fencing") == 12);
  BOOST_TEST(body.at("adapter_version") == "7");

  answer = { 409, R"({"error":{"kind":"stale_fencing","fencing":13}})", {} };
  BOOST_TEST((sender.Send(engine, order, 12).error().kind == ErrorKind::StaleFencing));
  answer = { 400, "", {} };
  BOOST_TEST((sender.Send(engine, order, 12).error().kind == ErrorKind::EndpointRejected));
  answer = { 503, R"({"error":{"kind":"overloaded"}})", {} };
  BOOST_TEST((sender.Send(engine, order, 12).error().kind == ErrorKind::EndpointRejected));
  answer = { 503, "", {} };
  BOOST_TEST((sender.Send(engine, order, 12).error().kind == ErrorKind::PlatformUnavailable));
  sender.Interrupt();
  BOOST_TEST((sender.Send(engine, order, 12).error().kind == ErrorKind::PlatformUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()
