#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// How long the connection of a stream stays open after the last event.
constexpr Milliseconds kOpenAfterEnd{ 500 };

/// How the answer of one call ended.
struct CallEnd
{
  std::optional<Error> failure;
  std::string text;
  std::string finishReason;
};

/// Waits for the end of an answer.
class Caller final : public AnswerSubscriber
{
public:
  void OnChanged(const Answer& aAnswer) override
  {
    if (aAnswer.TokenCount() > 0 && !this->sawToken.exchange(true)) {
      this->hasToken.set_value();
    }
    if (aAnswer.Ended() && !this->notified.exchange(true)) {
      this->end.set_value(
        { aAnswer.Failure(), std::string(aAnswer.Text()), aAnswer.FinishReason() });
    }
  }
  [[nodiscard]] bool IsDisconnected() override { return false; }

  std::promise<void> hasToken;
  std::promise<CallEnd> end;

private:
  std::atomic<bool> sawToken{ false };
  std::atomic<bool> notified{ false };
};

/// A daemon with two engines. The first stream of all is complete at once, but its connection stays open for a while; an
/// engine that is sent a complete answer to go on with adds a token.
struct Fixture
{
  Fixture()
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->offset = 1;
    configuration->manifest.failureDomains = { "d" };
    configuration->manifest.models = { { "permit", "1", {}, 1 } };
    ManifestClient client;
    client.name = "client";
    client.tokensPerSecond = 1e6;
    configuration->manifest.clients.push_back(client);
    this->market->ApplyConfiguration(configuration);
    auto snapshot = std::make_shared<FleetSnapshot>();
    for (const ScriptedServer* server : { &this->first, &this->second }) {
      Endpoint endpoint;
      endpoint.id = fmt::format("e{}", snapshot->endpoints.size());
      endpoint.kind = EndpointKind::Engine;
      endpoint.address = "127.0.0.1";
      endpoint.port = server->Port();
      endpoint.failureDomain = "d";
      endpoint.load.emplace();
      endpoint.load->asOf = this->clock.WallNow();
      endpoint.load->models = { { "permit", "1", {} } };
      snapshot->endpoints.push_back(std::move(endpoint));
    }
    this->fleet.Publish(snapshot);
    this->market->ApplyFleet(*snapshot);
    this->service.SetClaims(this->claims);
    BOOST_TEST_REQUIRE(this->service.Start().has_value());
  }

  ~Fixture() { this->service.Stop(); }

  /// Requests a completion, and publishes that its engine leaves once the answer is complete there.
  CallEnd CompleteAtLeavingEngine(bool aIdempotent)
  {
    CompletionCall call;
    call.terms.requestId = "r1";
    call.terms.market = "m";
    call.terms.client = "client";
    call.terms.idempotent = aIdempotent;
    call.terms.accepted = this->clock.Now();
    call.terms.deadline = call.terms.accepted + Seconds(10);
    call.terms.callClass = { "draft", Milliseconds(8000), Milliseconds(120), {}, 1 };
    call.engine.requestId = call.terms.requestId;
    call.engine.model = "permit";
    call.engine.version = "1";
    call.engine.prompt = "prompt";
    call.engine.maxTokens = 10;
    call.promptTokens = 10;
    const auto caller = std::make_shared<Caller>();
    this->service.Submit(std::move(call), this->market, caller);
    caller->hasToken.get_future().wait();
    auto snapshot = std::make_shared<FleetSnapshot>(*this->fleet.Get());
    Endpoint& source = snapshot->endpoints.at(this->first.Requests().empty() ? 1 : 0);
    source.state = EndpointState::Leaving;
    source.availableUntil = this->clock.Now();
    this->fleet.Publish(snapshot);
    this->market->ApplyFleet(*snapshot);
    this->service.OnFleet(snapshot);
    auto end = caller->end.get_future();
    BOOST_TEST_REQUIRE((end.wait_for(Seconds(20)) == std::future_status::ready));
    return end.get();
  }

  Script Respond(const std::string& aRequest)
  {
    if (aRequest.starts_with("DELETE ")) {
      return { { ScriptStep::Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" } };
    }
    const std::string body = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
    const std::string field = "\"attempt_id\":\"";
    const std::size_t start = body.find(field) + field.size();
    const std::string identity = fmt::format(R"("attempt_id":"{}","model":"permit","version":"1")",
                                             body.substr(start, body.find('"', start) - start));
    const int index = this->streams++;
    const std::string events =
      fmt::format("data: {{{0},\"stream_id\":\"s\"}}\n\ndata: {{\"index\":{1},\"text\":\"a\"}}\n\n"
                  "data: {{{0},\"finish_reason\":\"stop\",\"token_count\":{2}}}\n\n",
                  identity, index, index + 1);
    return { { ScriptStep::Kind::Send,
               fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                           events.size(), events) },
             { ScriptStep::Kind::Wait, {}, kOpenAfterEnd },
             { ScriptStep::Kind::Send, "0\r\n\r\n" } };
  }

  static RunServiceSettings Settings()
  {
    RunServiceSettings settings;
    settings.threads = 1;
    // The run is not to notice by itself, before the connection ends, that all events are there
    settings.attempts.tickInterval = Seconds(5);
    return settings;
  }

  std::atomic<int> streams{ 0 };
  SystemClock clock;
  MarketPtr market = std::make_shared<Market>("m", MarketSettings{}, this->clock, 1);
  FleetStore fleet;
  ScriptedServer first{ [this](const std::string& aRequest) { return this->Respond(aRequest); } };
  ScriptedServer second{ [this](const std::string& aRequest) { return this->Respond(aRequest); } };
  FakeLogService log;
  ClaimService claims{ {}, { .region = "r", .daemonId = "d" }, this->log, this->clock };
  RunService service{ Settings(), this->clock, this->fleet };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunServiceFinishedStreamTests, Fixture)

/// Guards against a whole answer that is stopped, or goes on elsewhere, as its engine leaves before its connection ends.
BOOST_DATA_TEST_CASE(WholeAnswerIsNotMovedOffALeavingEngine,
                     boost::unit_test::data::make({ true, false }), idempotent)
{
  const CallEnd end = this->CompleteAtLeavingEngine(idempotent);
  BOOST_TEST(!end.failure.has_value());
  BOOST_TEST(end.text == "a");
  BOOST_TEST(end.finishReason == "stop");
  BOOST_TEST(this->streams == 1);
}

BOOST_AUTO_TEST_SUITE_END()
