#include "Lagoonward/Providers/HttpCloudService.h"
#include "Lagoonward/Providers/HttpHostListService.h"
#include "Lagoonward/Providers/HttpLogService.h"
#include "Lagoonward/Providers/HttpWeightStore.h"
#include "UnitTests/Support/FakeHttpServer.h"
#include "UnitTests/Support/LoopbackPeers.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// A server that responds to every request with the same answer and records the last request.
struct FixedServer
{
  explicit FixedServer(FakeAnswer aAnswer)
    : answer(std::move(aAnswer))
  {
  }

  FakeAnswer answer;
  FakeRequest last;
  FakeHttpServer server{ [this](const FakeRequest& aRequest) {
    this->last = aRequest;
    return this->answer;
  } };
};

PlatformSettings
ShortTimeoutSettings()
{
  PlatformSettings settings;
  settings.callTimeout = Milliseconds(200);
  settings.maxBodyBytes = 1000;
  return settings;
}

ErrorKind
ReadError(const FakeAnswer& aAnswer)
{
  FixedServer fixed(aAnswer);
  HttpLogService log(fixed.server.Url(), ShortTimeoutSettings());
  return log.Read("s", 3, 10, Milliseconds(0)).error().kind;
}

std::string
MakeResponse(std::string_view aStatus, std::string_view aBody)
{
  return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", aStatus, aBody.size(), aBody);
}

/// Why a call has failed; empty if it has not.
std::string
MessageOf(const Result<PlatformResponse>& aAnswer)
{
  return aAnswer.has_value() ? std::string() : aAnswer.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServicesTests)

// Guards against a large response that is cut off and requested anew again and again, as it takes a small link longer
// than the timeout of a call
BOOST_AUTO_TEST_CASE(ResponseThatKeepsArrivingIsNotCutOffByTheTimeout)
{
  // Each part comes long before the timeout, all of them together after it
  constexpr int kParts = 14;
  PlatformSettings settings = ShortTimeoutSettings();
  settings.callTimeout = Milliseconds(1000);
  ScriptedServer server([](const std::string&) {
    Script script{
      { ScriptStep::Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 140\r\n\r\n", {} }
    };
    for (int part = 0; part < kParts; ++part) {
      script.push_back({ ScriptStep::Kind::Wait, {}, Milliseconds(100) });
      script.push_back({ ScriptStep::Kind::Send, "0123456789", {} });
    }
    return script;
  });
  PlatformHttpClient client("http://127.0.0.1:" + std::to_string(server.Port()), settings);
  PlatformCall call;
  call.path = "/large";
  const auto answer = client.Call(call);
  BOOST_REQUIRE_MESSAGE(answer.has_value(), MessageOf(answer));
  BOOST_TEST(answer.value().body.size() == 140U);
}

BOOST_AUTO_TEST_CASE(ResponseThatStopsArrivingFailsAfterTheTimeout)
{
  ScriptedServer server([](const std::string&) {
    return Script{
      { ScriptStep::Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n0123456789", {} },
      { ScriptStep::Kind::Wait, {}, Seconds(5) }
    };
  });
  PlatformHttpClient client("http://127.0.0.1:" + std::to_string(server.Port()),
                            ShortTimeoutSettings());
  PlatformCall call;
  call.path = "/large";
  call.wait = Milliseconds(3000);
  const auto startedAt = std::chrono::steady_clock::now();
  BOOST_TEST(!client.Call(call).has_value());
  BOOST_TEST((std::chrono::steady_clock::now() - startedAt < Milliseconds(2000)));
}

// Guards against a call that counts as done, or as refused, because of an extra response to an earlier one: it arrived on
// the idle connection, and responses name no call
BOOST_AUTO_TEST_CASE(ResponseThatArrivesBetweenTwoCallsIsNotUsed)
{
  PlatformSettings settings = ShortTimeoutSettings();
  settings.callTimeout = Seconds(5);
  for (const char* extra : { "200 OK", "409 Conflict" }) {
    const ScriptedServer server([extra](const std::string& aRequest) {
      const bool isFirst = aRequest.starts_with("GET /first ");
      Script script{ { ScriptStep::Kind::Send, MakeResponse("404 Not Found", "own"), {} } };
      if (isFirst) {
        script.push_back({ ScriptStep::Kind::Wait, {}, Milliseconds(100) });
        script.push_back({ ScriptStep::Kind::Send, MakeResponse(extra, "extra"), {} });
      }
      return script;
    });
    PlatformHttpClient client("http://127.0.0.1:" + std::to_string(server.Port()), settings);
    PlatformCall call;
    call.path = "/first";
    BOOST_TEST(client.Call(call).has_value());
    Await([&server] { return server.CompletedScripts() == 1; });
    call.path = "/second";
    const auto answer = client.Call(call);
    BOOST_REQUIRE_MESSAGE(answer.has_value(), MessageOf(answer));
    BOOST_TEST(answer.value().status == 404);
    BOOST_TEST(answer.value().body == "own");
  }
}

// Guards against a call that counts as done because the beginning of an extra response came right before its own: libcurl
// reads both as one head, with the status of the first
BOOST_AUTO_TEST_CASE(HeadThatHoldsTheStartOfTwoResponsesIsAnError)
{
  for (const std::string beginning : { "HTTP/1.1 200 Late", "HTTP/1.1 200 OK\r\nDate: Sat" }) {
    for (const bool discardsBody : { false, true }) {
      const ScriptedServer server([&beginning](const std::string&) {
        return Script{
          { ScriptStep::Kind::Send, beginning + MakeResponse("409 Conflict", "{}"), {} }
        };
      });
      PlatformHttpClient client("http://127.0.0.1:" + std::to_string(server.Port()),
                                ShortTimeoutSettings());
      PlatformCall call;
      call.discardsBody = discardsBody;
      call.path = "/write";
      const auto answer = client.Call(call);
      BOOST_REQUIRE(answer.has_error());
      BOOST_TEST((answer.error().kind == ErrorKind::PlatformUnavailable));
    }
  }
}

// Guards against a write that counts as done although the connection was closed within the head of the response
BOOST_AUTO_TEST_CASE(ResponseThatEndsWithinItsHeadIsAnError)
{
  for (const char* head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" }) {
    const ScriptedServer server([head](const std::string&) {
      return Script{ { ScriptStep::Kind::Send, head, {} }, { ScriptStep::Kind::Close, {}, {} } };
    });
    PlatformHttpClient client("http://127.0.0.1:" + std::to_string(server.Port()),
                              ShortTimeoutSettings());
    PlatformCall call;
    call.path = "/write";
    BOOST_TEST(!client.Call(call).has_value());
  }
}

BOOST_AUTO_TEST_CASE(LogAppendsAndReadsRecords)
{
  FixedServer fixed({ 200, R"({"offset":7})", {} });
  HttpLogService log(fixed.server.Url() + "/", ShortTimeoutSettings());
  BOOST_TEST(log.Append("config/v 1", "{\"x\":1}").value().offset == 7);
  BOOST_TEST(fixed.last.method == "POST");
  BOOST_TEST(fixed.last.path == "/streams/config/v 1");
  BOOST_TEST(fixed.last.body == "{\"x\":1}");
  fixed.answer.body = R"({"start":2,"end":9,"records":[{"offset":4,"data":"a"}],"extra":1})";
  const auto page = log.Read("s", 3, 10, Milliseconds(5)).value();
  BOOST_TEST(page.start == 2);
  BOOST_TEST(page.end == 9);
  BOOST_TEST(page.records.at(0).data == "a");
  BOOST_TEST(fixed.last.query.at("from") == "3");
  BOOST_TEST(fixed.last.query.at("wait_ms") == "5");
}

BOOST_AUTO_TEST_CASE(MalformedAndOversizedResponsesArePlatformUnavailable)
{
  for (const char* body :
       { "", "[]", R"({"start":0,"end":9})", R"({"start":0,"end":"9","records":[]})",
         R"({"start":0,"end":9,"records":[{"offset":1,"data":"a"}]})",
         R"({"start":0,"end":9,"records":[{"offset":9,"data":"a"}]})" }) {
    BOOST_TEST((ReadError({ 200, body, {} }) == ErrorKind::PlatformUnavailable));
  }
  BOOST_TEST((ReadError({ 200, std::string(2000, ' '), {} }) == ErrorKind::PlatformUnavailable));
  BOOST_TEST((ReadError({ 404, "", {} }) == ErrorKind::InvalidRequest));
}

BOOST_AUTO_TEST_CASE(RateLimitAndOutageErrorsHaveRetryAfter)
{
  FixedServer fixed({ 429, "", { { "Retry-After", "7" } } });
  HttpLogService log(fixed.server.Url(), ShortTimeoutSettings());
  const Error limited = log.Append("s", "r").error();
  BOOST_TEST((limited.kind == ErrorKind::PlatformUnavailable));
  BOOST_TEST(limited.retryAfter->count() == 7000);
  fixed.answer = { 503, "", {} };
  BOOST_TEST(log.Append("s", "r").error().retryAfter->count() ==
             ShortTimeoutSettings().retryAfter.count());
}

BOOST_AUTO_TEST_CASE(TimeoutIsPlatformUnavailableAndTheNextCallUsesANewConnection)
{
  std::atomic<int> calls{ 0 };
  FakeHttpServer server([&calls](const FakeRequest&) {
    FakeAnswer answer{ 200, R"({"offset":1})", {} };
    answer.silent = calls++ == 1;
    return answer;
  });
  HttpLogService log(server.Url(), ShortTimeoutSettings());
  BOOST_TEST(log.Append("s", "r").has_value());
  BOOST_TEST((log.Append("s", "r").error().kind == ErrorKind::PlatformUnavailable));
  BOOST_TEST(log.Append("s", "r").has_value());
}

BOOST_AUTO_TEST_CASE(InterruptEndsABlockedCall)
{
  FakeHttpServer server([](const FakeRequest&) {
    FakeAnswer answer;
    answer.silent = true;
    return answer;
  });
  HttpLogService log(server.Url(), ShortTimeoutSettings());
  std::thread stopper([&log] { log.Interrupt(); });
  BOOST_TEST(!log.Read("s", 0, 1, Milliseconds(600'000)).has_value());
  stopper.join();
}

BOOST_AUTO_TEST_CASE(CloudCallsDecodeResponsesAndClassifyErrors)
{
  FixedServer fixed({ 200, R"({"id":"h-1"})", {} });
  HttpCloudService cloud(fixed.server.Url(), ShortTimeoutSettings());
  HostRequest request;
  request.clientToken = "t";
  request.machineClass = "a100";
  BOOST_TEST(cloud.StartHost(request).value() == "h-1");
  BOOST_TEST(nlohmann::json::parse(fixed.last.body).at("kind") == "engine");
  fixed.answer = { 409, "", {} };
  BOOST_TEST((cloud.StartHost(request).error().kind == ErrorKind::Overloaded));
  // The error kind no_capacity is a valid response with status 503; any other kind means an outage
  fixed.answer = { 503, R"({"error":{"kind":"no_capacity","message":"none"}})", {} };
  BOOST_TEST((cloud.StartHost(request).error().kind == ErrorKind::Overloaded));
  fixed.answer = { 503, R"({"error":{"kind":"outage"}})", {} };
  BOOST_TEST((cloud.StartHost(request).error().kind == ErrorKind::PlatformUnavailable));
  fixed.answer = { 503, "no_capacity", {} };
  BOOST_TEST((cloud.StartHost(request).error().kind == ErrorKind::PlatformUnavailable));
  fixed.answer = { 404, "", {} };
  BOOST_TEST(cloud.StopHost("h/1").has_value());
  BOOST_TEST(fixed.last.path == "/hosts/h/1");
  fixed.answer = { 200,
                   R"([{"machine_class":"a","failure_domain":"f","reclaimable":true,"per_hour":2},
                       {"machine_class":"a"}])",
                   {} };
  BOOST_TEST(cloud.Prices().value().size() == 1U);
  fixed.answer.body = R"({"start":0,"end":2,"notices":[{"at_ms":1,"grace_ms":1},
                          {"host":null,"failure_domain":"f","at_ms":5,"grace_ms":30000}]})";
  const auto page = cloud.Notices(0, Milliseconds(0)).value();
  BOOST_TEST(page.notices.size() == 1U);
  BOOST_TEST(ToUnixMilliseconds(page.notices[0].at) == 5);
}

BOOST_AUTO_TEST_CASE(HostListSkipsMalformedEntries)
{
  FixedServer fixed({ 200,
                      R"([{"id":"e","kind":"engine","address":"127.0.0.1","port":80,
                           "failure_domain":"f","region":"r","machine_class":"a","state":"leaving"},
                          {"id":"x","kind":"engine","address":"127.0.0.1","port":70000,
                           "failure_domain":"f","region":"r","machine_class":"a","state":"live"}])",
                      {} });
  HttpHostListService list(fixed.server.Url(), ShortTimeoutSettings());
  const auto hosts = list.Hosts().value();
  BOOST_TEST(hosts.size() == 1U);
  BOOST_TEST(hosts.at(0).leaving);
}

BOOST_AUTO_TEST_CASE(WeightStoreDistinguishesRateLimitFromMissingWeights)
{
  FixedServer fixed({ 200, std::string(100'000, 'w'), {} });
  HttpWeightStore store(fixed.server.Url(), ShortTimeoutSettings());
  BOOST_TEST(store.Check("permit", "3").has_value());
  fixed.answer = { 404, "", {} };
  BOOST_TEST((store.Check("permit", "3").error().kind == ErrorKind::UnknownModel));
  fixed.answer = { 429, "slow down", { { "Retry-After", "2" } } };
  BOOST_TEST(store.Check("permit", "3").error().retryAfter->count() == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
