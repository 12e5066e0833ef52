#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::size_t kBound = 4U << 20U;
/// Below the limits of one reply and of one answer.
constexpr std::size_t kEndlessBytes = 1U << 20U;
constexpr std::size_t kTokenBytes = 32U << 10U;
constexpr int kRequests = 20;
constexpr Seconds kDeadline{ 15 };

/// Waits for the end of an answer.
class Caller final : public AnswerSubscriber
{
public:
  void OnChanged(const Answer& aAnswer) override
  {
    if (aAnswer.Ended() && !this->notified.exchange(true)) {
      this->end.set_value(aAnswer.Failure());
    }
  }
  [[nodiscard]] bool IsDisconnected() override { return false; }

  std::promise<std::optional<Error>> end;

private:
  std::atomic<bool> notified{ false };
};

/// The bytes and then silence, with the connection open.
Script
SendWithoutEnd(std::string aBytes)
{
  return { { ScriptStep::Kind::Send, std::move(aBytes) },
           { ScriptStep::Kind::Wait, {}, Seconds(20) } };
}

/// Begins an answer to the request and sends as many of its tokens as make kEndlessBytes.
Script
SendTokensWithoutEnd(const std::string& aRequest)
{
  constexpr std::string_view kField = "\"attempt_id\":\"";
  const std::size_t begin = aRequest.find(kField) + kField.size();
  const std::string attempt = aRequest.substr(begin, aRequest.find('"', begin) - begin);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  bytes += fmt::format(
    "data: {{\"attempt_id\":\"{}\",\"stream_id\":\"s\",\"model\":\"m\",\"version\":\"1\"}}\n\n",
    attempt);
  for (std::size_t index = 0; index < kEndlessBytes / kTokenBytes; ++index) {
    bytes += fmt::format("data: {{\"index\":{},\"text\":\"{}\"}}\n\n", index,
                         std::string(kTokenBytes, 'x'));
  }
  return SendWithoutEnd(std::move(bytes));
}

/// A daemon with one endpoint, which is a service and an engine, whose answers do not end.
struct Fixture
{
  Fixture()
    : server([](const std::string& aRequest) {
      return aRequest.find("\"attempt_id\"") == std::string::npos
               ? SendWithoutEnd("HTTP/1.1 200 OK\r\n\r\n" + std::string(kEndlessBytes, 'x'))
               : SendTokensWithoutEnd(aRequest);
    })
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->offset = 1;
    configuration->manifest.failureDomains = { "d" };
    configuration->manifest.services = { { "s", true } };
    configuration->manifest.models = { { "m", "1", {}, 1 } };
    ManifestClient client;
    client.name = "client";
    client.tokensPerSecond = 1e6;
    configuration->manifest.clients.push_back(client);
    this->market->ApplyConfiguration(configuration);
    auto snapshot = std::make_shared<FleetSnapshot>();
    Endpoint endpoint;
    endpoint.id = "e";
    endpoint.kind = EndpointKind::Service;
    endpoint.name = "s";
    endpoint.address = "127.0.0.1";
    endpoint.port = this->server.Port();
    endpoint.failureDomain = "d";
    snapshot->endpoints.push_back(endpoint);
    endpoint.id = "m";
    endpoint.kind = EndpointKind::Engine;
    endpoint.name.clear();
    endpoint.load.emplace();
    endpoint.load->asOf = this->clock.WallNow();
    endpoint.load->models = { { "m", "1", {} } };
    snapshot->endpoints.push_back(std::move(endpoint));
    this->fleet.Publish(snapshot);
    this->market->ApplyFleet(*snapshot);
    this->service.SetClaims(this->claims);
    BOOST_TEST_REQUIRE(this->service.Start().has_value());
  }

  ~Fixture() { this->service.Stop(); }

  CallTerms NextTerms()
  {
    CallTerms terms;
    terms.requestId = "r" + std::to_string(++this->callCount);
    terms.market = "m";
    terms.client = "client";
    terms.bodyHash = static_cast<std::uint64_t>(this->callCount);
    terms.accepted = this->clock.Now();
    terms.deadline = terms.accepted + kDeadline;
    terms.callClass = { "draft", Milliseconds(8000), Milliseconds(10'000), {}, 1 };
    return terms;
  }

  ServiceCall NextServiceCall()
  {
    ServiceCall call;
    call.terms = this->NextTerms();
    call.service = "s";
    call.path = "/p";
    call.contentType = "text/plain";
    return call;
  }

  CompletionCall NextCompletionCall()
  {
    CompletionCall call;
    call.terms = this->NextTerms();
    call.engine.requestId = call.terms.requestId;
    call.engine.model = "m";
    call.engine.version = "1";
    call.engine.prompt = "p";
    call.engine.maxTokens = 100;
    call.promptTokens = 10;
    return call;
  }

  /// Submits requests of which all but those whose answers fit into the bound must end at once, with that reason.
  template<typename Call>
  void CheckThatAllButTheBoundEnd(Call (Fixture::*aMakeCall)())
  {
    std::vector<std::shared_ptr<Caller>> callers;
    for (int request = 0; request < kRequests; ++request) {
      callers.push_back(std::make_shared<Caller>());
      this->service.Submit((this->*aMakeCall)(), this->market, callers.back());
    }
    const TimePoint limit = this->clock.Now() + kDeadline / 2;
    std::size_t stopped = 0;
    for (const auto& caller : callers) {
      auto end = caller->end.get_future();
      const auto left = std::max(limit - this->clock.Now(), TimePoint::duration::zero());
      if (end.wait_for(left) != std::future_status::ready) {
        continue;
      }
      const std::optional<Error> error = end.get();
      BOOST_TEST_REQUIRE(error.has_value());
      BOOST_TEST((error->kind == ErrorKind::EndpointFailed), error->message);
      stopped += error->message.find("hold more than 4194304 bytes") != std::string::npos ? 1 : 0;
    }
    BOOST_TEST(stopped + kBound / kEndlessBytes >= static_cast<std::size_t>(kRequests));
    BOOST_TEST(stopped < static_cast<std::size_t>(kRequests));
  }

  static RunServiceSettings Settings()
  {
    RunServiceSettings settings;
    settings.threads = 1;
    settings.attempts.maximumResponseMemory = kBound;
    return settings;
  }

  SystemClock clock;
  ScriptedServer server;
  MarketPtr market = std::make_shared<Market>("m", MarketSettings{}, this->clock, 1);
  FleetStore fleet;
  FakeLogService log;
  ClaimService claims{ {}, { .region = "r", .daemonId = "d" }, this->log, this->clock };
  RunService service{ Settings(), this->clock, this->fleet };
  int callCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunServiceMemoryTests, Fixture)

/// Guards against many replies of services without end, each below the limit of one, that together take all memory.
BOOST_AUTO_TEST_CASE(EndlessRepliesStayWithinTheBoundOfAll)
{
  this->CheckThatAllButTheBoundEnd(&Fixture::NextServiceCall);
}

/// Guards against many answers of engines without end that together take all memory.
BOOST_AUTO_TEST_CASE(EndlessAnswersStayWithinTheBoundOfAll)
{
  this->CheckThatAllButTheBoundEnd(&Fixture::NextCompletionCall);
}

BOOST_AUTO_TEST_SUITE_END()
