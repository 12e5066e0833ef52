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
    if (aAnswer.Ended() && !this->notified.exchange(true)) {
      this->end.set_value(
        { aAnswer.Failure(), std::string(aAnswer.Text()), aAnswer.FinishReason() });
    }
  }
  [[nodiscard]] bool IsDisconnected() override { return false; }

  std::promise<CallEnd> end;

private:
  std::atomic<bool> notified{ false };
};

/// A daemon with engines that generate two tokens, of which the first reader of all gets one: then another daemon
/// cancels the stream.
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

  CallEnd Complete(bool aIdempotent)
  {
    CompletionCall call;
    call.terms.requestId = "r1";
    call.terms.market = "m";
    call.terms.client = "client";
    // A non-idempotent call with a key would need a claim
    call.terms.idempotencyKey = aIdempotent ? "key" : "";
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
    auto end = caller->end.get_future();
    BOOST_TEST_REQUIRE((end.wait_for(Seconds(20)) == std::future_status::ready));
    return end.get();
  }

  Script Respond(const std::string& aRequest)
  {
    const std::string body = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
    const std::string field = "\"attempt_id\":\"";
    const std::size_t start = body.find(field) + field.size();
    const std::string identity = fmt::format(R"("attempt_id":"{}","model":"permit","version":"1")",
                                             body.substr(start, body.find('"', start) - start));
    const bool isCancelled = this->streams++ == 0;
    const bool isResumed = body.find("\"resume_tokens\":[\"a\"]") != std::string::npos;
    std::string events = fmt::format("data: {{{},\"stream_id\":\"s\"}}\n\n", identity);
    events += isResumed ? "" : "data: {\"index\":0,\"text\":\"a\"}\n\n";
    events += isCancelled ? "" : "data: {\"index\":1,\"text\":\"b\"}\n\n";
    events += fmt::format("data: {{{},\"finish_reason\":\"{}\",\"token_count\":{}}}\n\n", identity,
                          isCancelled ? "cancelled" : "stop", isCancelled ? 1 : 2);
    return { { ScriptStep::Kind::Send,
               fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           events.size(), events) } };
  }

  std::atomic<int> streams{ 0 };
  SystemClock clock;
  MarketPtr market = std::make_shared<Market>("m", MarketSettings{}, this->clock, 1);
  FleetStore fleet;
  ScriptedServer first{ [this](const std::string& aRequest) { return this->Respond(aRequest); } };
  ScriptedServer second{ [this](const std::string& aRequest) { return this->Respond(aRequest); } };
  FakeLogService log;
  ClaimService claims{ {}, { .region = "r", .daemonId = "d" }, this->log, this->clock };
  RunService service{ { .threads = 1 }, this->clock, this->fleet };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunServiceCancelledStreamTests, Fixture)

/// Guards against a part that is given, and kept, as the whole answer since another daemon cancelled its stream.
BOOST_AUTO_TEST_CASE(IdempotentRequestWhoseStreamWasCancelledGoesOnElsewhere)
{
  // The second call has the same key, and gets what was kept of the first
  for (int count = 0; count < 2; ++count) {
    const CallEnd end = this->Complete(true);
    BOOST_TEST(!end.failure.has_value());
    BOOST_TEST(end.text == "ab");
    BOOST_TEST(end.finishReason == "stop");
  }
  BOOST_TEST(this->streams == 2);
}

/// Guards against a part that is given as the whole answer, and against a second run where another daemon may have one.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestWhoseStreamWasCancelledFailsAndIsNotSentAgain)
{
  const CallEnd end = this->Complete(false);
  BOOST_TEST_REQUIRE(end.failure.has_value());
  BOOST_TEST((end.failure->ran == Ran::Unknown));
  BOOST_TEST(this->streams == 1);
}

BOOST_AUTO_TEST_SUITE_END()
