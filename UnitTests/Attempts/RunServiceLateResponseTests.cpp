#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// How the answer of one call ended.
struct CallEnd
{
  std::optional<Error> failure;
  ServiceReply reply;
  std::string text;
};

/// Waits for the end of an answer.
class Caller final : public AnswerSubscriber
{
public:
  void OnChanged(const Answer& aAnswer) override
  {
    if (aAnswer.Ended() && !this->notified.exchange(true)) {
      this->end.set_value({ aAnswer.Failure(), aAnswer.Reply(), std::string(aAnswer.Text()) });
    }
  }
  [[nodiscard]] bool IsDisconnected() override { return false; }

  std::promise<CallEnd> end;

private:
  std::atomic<bool> notified{ false };
};

std::string
MakeResponse(std::string_view aStatus, std::string_view aType, std::string_view aBody)
{
  return fmt::format("HTTP/1.1 {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}", aStatus,
                     aType, aBody.size(), aBody);
}

/// A daemon with one endpoint, which is a service and an engine. On a connection that is used again the endpoint sends an
/// extra response to the earlier request before that to the new one.
struct Fixture
{
  Fixture()
    : server([this](const std::string& aRequest) { return this->Respond(aRequest); })
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
    Endpoint endpoint;
    endpoint.id = "service";
    endpoint.kind = EndpointKind::Service;
    endpoint.name = "s";
    endpoint.address = "127.0.0.1";
    endpoint.port = this->server.Port();
    endpoint.failureDomain = "d";
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->endpoints.push_back(endpoint);
    endpoint.id = "engine";
    endpoint.kind = EndpointKind::Engine;
    endpoint.name.clear();
    endpoint.load.emplace();
    endpoint.load->asOf = this->clock.WallNow();
    endpoint.load->models = { { "permit", "1", {} } };
    snapshot->endpoints.push_back(endpoint);
    this->fleet.Publish(snapshot);
    this->market->ApplyFleet(*snapshot);
    this->service.SetClaims(this->claims);
    BOOST_TEST_REQUIRE(this->service.Start().has_value());
  }

  ~Fixture() { this->service.Stop(); }

  /// Calls the service with a body, which its endpoint echoes.
  CallEnd CallService(const std::string& aBody, bool aIdempotent)
  {
    ServiceCall call;
    call.terms = this->TermsOf(aBody, aIdempotent);
    call.service = "s";
    call.path = "/p";
    call.contentType = "text/plain";
    call.body = aBody;
    return this->SubmitAndWait(std::move(call));
  }

  /// Requests a completion, of which the engine generates one token: the prompt.
  CallEnd Complete(const std::string& aPrompt, bool aIdempotent)
  {
    CompletionCall call;
    call.terms = this->TermsOf(aPrompt, aIdempotent);
    call.terms.callClass = { "draft", Milliseconds(8000), Milliseconds(120), {}, 1 };
    call.engine.requestId = call.terms.requestId;
    call.engine.model = "permit";
    call.engine.version = "1";
    call.engine.prompt = aPrompt;
    call.engine.maxTokens = 10;
    call.promptTokens = 10;
    return this->SubmitAndWait(std::move(call));
  }

  /// Number of times that the endpoint received a request that contains the text.
  [[nodiscard]] std::ptrdiff_t CountRequests(const std::string& aText) const
  {
    const std::vector<std::string> requests = this->server.Requests();
    return std::count_if(requests.begin(), requests.end(), [&](const std::string& aEach) {
      return aEach.find(aText) != std::string::npos;
    });
  }

  CallTerms TermsOf(const std::string& aBody, bool aIdempotent)
  {
    CallTerms terms;
    terms.requestId = "r" + std::to_string(++this->callCount);
    terms.market = "m";
    terms.client = "client";
    terms.idempotent = aIdempotent;
    terms.bodyHash = HashBytes(aBody);
    terms.accepted = this->clock.Now();
    terms.deadline = terms.accepted + Seconds(10);
    return terms;
  }

  template<typename Call>
  CallEnd SubmitAndWait(Call aCall)
  {
    const auto caller = std::make_shared<Caller>();
    this->service.Submit(std::move(aCall), this->market, caller);
    auto end = caller->end.get_future();
    BOOST_TEST_REQUIRE((end.wait_for(Seconds(20)) == std::future_status::ready));
    return end.get();
  }

  Script Respond(const std::string& aRequest)
  {
    const bool isCompletion = aRequest.starts_with("POST /v1/completions ");
    const std::string body = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
    const std::string proper = isCompletion ? MakeResponse("200 OK", "text/event-stream", Run(body))
                                            : MakeResponse("200 OK", "text/plain", body);
    const std::string extra =
      isCompletion ? MakeResponse("503 Service Unavailable", "application/json", "{}") : proper;
    const std::lock_guard lock(this->mutex);
    // Each connection is served by a thread of its own
    const std::string due = std::exchange(this->late[std::this_thread::get_id()], extra);
    return { { ScriptStep::Kind::Send, due + proper } };
  }

  /// The events of a completion.
  static std::string Run(const std::string& aBody)
  {
    const auto field = [&](const std::string& aName) {
      const std::size_t start = aBody.find('"' + aName + "\":\"") + aName.size() + 4;
      return aBody.substr(start, aBody.find('"', start) - start);
    };
    const std::string identity =
      fmt::format(R"("attempt_id":"{}","model":"permit","version":"1")", field("attempt_id"));
    return fmt::format(
      "data: {{{0},\"stream_id\":\"s\"}}\n\ndata: {{\"index\":0,\"text\":\"{1}\"}}\n\n"
      "data: {{{0},\"finish_reason\":\"stop\",\"token_count\":1}}\n\n",
      identity, field("prompt"));
  }

  std::mutex mutex;
  std::map<std::thread::id, std::string> late; ///< Extra response that is due, by connection.
  SystemClock clock;
  MarketPtr market = std::make_shared<Market>("m", MarketSettings{}, this->clock, 1);
  FleetStore fleet;
  ScriptedServer server;
  FakeLogService log;
  ClaimService claims{ {}, { .region = "r", .daemonId = "d" }, this->log, this->clock };
  // One thread, so that the calls could use one connection
  RunService service{ { .threads = 1 }, this->clock, this->fleet };
  int callCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunServiceLateResponseTests, Fixture)

/// Guards against the reply to another caller: replies of services name no call, so an extra one to an earlier call must not
/// be on the connection.
BOOST_DATA_TEST_CASE(ServiceCallDoesNotReceiveTheReplyToAnEarlierOne,
                     boost::unit_test::data::make({ true, false }), idempotent)
{
  for (const char* body : { "first", "second", "third" }) {
    const CallEnd end = this->CallService(body, idempotent);
    BOOST_TEST(!end.failure.has_value());
    BOOST_TEST(end.reply.body == body);
  }
  BOOST_TEST(this->server.Requests().size() == 3U);
  // No connection is left open that no call will use
  BOOST_TEST(this->CountRequests("Connection: close\r\n") == 3);
}

/// Guards against a request that runs twice: an engine's rejection names no attempt, so an extra one to an earlier request
/// must not count as proof that a non-idempotent request did not run.
BOOST_DATA_TEST_CASE(RejectionOfAnEarlierRequestDoesNotRepeatANonIdempotentOne,
                     boost::unit_test::data::make({ true, false }), isFirstIdempotent)
{
  BOOST_TEST(this->Complete("first", isFirstIdempotent).text == "first");
  const CallEnd end = this->Complete("second", false);
  BOOST_TEST(!end.failure.has_value());
  BOOST_TEST(end.text == "second");
  BOOST_TEST(this->CountRequests("\"prompt\":\"second\"") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
