#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

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

/// A daemon with service endpoints. The call "crash" crashes the endpoint that runs it, without a restart.
struct Fixture
{
  static constexpr std::size_t kEndpoints = 8;

  Fixture()
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->offset = 1;
    configuration->manifest.failureDomains = { "d" };
    configuration->manifest.services = { { "s", true } };
    configuration->manifest.models = { { "permit", "1", {}, 1 } };
    ManifestClient client;
    client.name = "client";
    client.tokensPerSecond = 1e6;
    configuration->manifest.clients.push_back(client);
    this->market->ApplyConfiguration(configuration);
    auto snapshot = std::make_shared<FleetSnapshot>();
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>([](const std::string& aRequest) {
        return IsCrashing(aRequest)
                 ? Script{ { ScriptStep::Kind::ResetAndStopListening } }
                 : Script{ { ScriptStep::Kind::Send,
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" } };
      }));
      Endpoint endpoint;
      endpoint.id = "e" + std::to_string(index);
      endpoint.kind = EndpointKind::Service;
      endpoint.name = "s";
      endpoint.address = "127.0.0.1";
      endpoint.port = this->servers.back()->Port();
      endpoint.failureDomain = "d";
      snapshot->endpoints.push_back(endpoint);
      // The same server also stands for an engine
      endpoint.id = "m" + std::to_string(index);
      endpoint.kind = EndpointKind::Engine;
      endpoint.name.clear();
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

  /// Submits a call and waits for its end.
  /// @return the error of the call; nothing if it succeeded
  std::optional<Error> Call(const std::string& aBody)
  {
    ServiceCall call;
    call.terms = this->TermsOf(aBody);
    call.service = "s";
    call.path = "/p";
    call.contentType = "text/plain";
    call.body = aBody;
    return this->SubmitAndWait(std::move(call));
  }

  /// The same for a request to a model.
  std::optional<Error> Complete(const std::string& aPrompt)
  {
    CompletionCall call;
    call.terms = this->TermsOf(aPrompt);
    call.terms.callClass = { "draft", Milliseconds(8000), Milliseconds(120), {}, 1 };
    call.engine.requestId = call.terms.requestId;
    call.engine.model = "permit";
    call.engine.version = "1";
    call.engine.prompt = aPrompt;
    call.engine.maxTokens = 10;
    call.promptTokens = 10;
    return this->SubmitAndWait(std::move(call));
  }

  /// Whether a request, for a service or a model, crashes the endpoint that runs it.
  static bool IsCrashing(const std::string& aRequest)
  {
    return aRequest.ends_with("crash") ||
           aRequest.find("\"prompt\":\"crash\"") != std::string::npos;
  }

  /// Number of endpoints that received the call that crashes them.
  [[nodiscard]] int CrashedCount() const
  {
    int crashed = 0;
    for (const auto& server : this->servers) {
      const auto requests = server->Requests();
      crashed += std::any_of(requests.begin(), requests.end(), &IsCrashing);
    }
    return crashed;
  }

  CallTerms TermsOf(const std::string& aBody)
  {
    CallTerms terms;
    terms.requestId = "r" + std::to_string(++this->callCount);
    terms.market = "m";
    terms.client = "client";
    terms.bodyHash = HashBytes(aBody);
    terms.accepted = this->clock.Now();
    terms.deadline = terms.accepted + Seconds(10);
    return terms;
  }

  template<typename Call>
  std::optional<Error> SubmitAndWait(Call aCall)
  {
    const auto caller = std::make_shared<Caller>();
    this->service.Submit(std::move(aCall), this->market, caller);
    auto end = caller->end.get_future();
    BOOST_TEST_REQUIRE((end.wait_for(Seconds(20)) == std::future_status::ready));
    return end.get();
  }

  SystemClock clock;
  MarketPtr market = std::make_shared<Market>("m", MarketSettings{}, this->clock, 1);
  FleetStore fleet;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  FakeLogService log;
  ClaimService claims{ {}, { .region = "r", .daemonId = "d" }, this->log, this->clock };
  RunService service{ {}, this->clock, this->fleet };
  int callCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunServicePoisonTests, Fixture)

/// Guards against a fault that was observed: a call that crashed every endpoint that ran it was sent to all endpoints,
/// one after the other, until its deadline.
BOOST_AUTO_TEST_CASE(CallThatCrashedThreeEndpointsIsNotSentAgain)
{
  const auto first = this->Call("crash");
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((first->ran == Ran::Unknown));
  BOOST_TEST(this->CrashedCount() == 3);
  // The repeated call is rejected before anything is sent
  const auto second = this->Call("crash");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->kind == ErrorKind::PoisonRequest));
  BOOST_TEST((second->ran == Ran::No));
  BOOST_TEST(this->CrashedCount() == 3);
  BOOST_TEST(!this->Call("another").has_value());
}

/// Guards against engines that are lost to one request: the runs of model requests did not say at which endpoint they
/// were when it crashed, so that no endpoint was kept from them.
BOOST_AUTO_TEST_CASE(ModelRequestThatCrashedThreeEndpointsIsNotSentAgain)
{
  const auto first = this->Complete("crash");
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(this->CrashedCount() == 3);
  const auto second = this->Complete("crash");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->kind == ErrorKind::PoisonRequest));
  BOOST_TEST((second->ran == Ran::No));
  BOOST_TEST(this->CrashedCount() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
