#include "Lagoonward/Core/SystemClock.h"
#include "StandIns/Engine/TokenFunction.h"
#include "StandIns/Http/HttpServer.h"
#include "StandIns/Load/LoadReport.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::standins;
using nlohmann::json;

namespace {

using Exchange = std::shared_ptr<standins::HttpExchange>;
using Responder = std::function<void(const Exchange&)>;

/// Answers the attempts of one request with the given responders in order; the last one answers all
/// further attempts.
class ScriptedDaemon
{
public:
  explicit ScriptedDaemon(std::vector<Responder> aResponders)
    : responders(std::move(aResponders))
    , server(ListenAddress(), [this](const Exchange& aExchange) { this->Respond(aExchange); })
  {
  }

  [[nodiscard]] std::string Url() const { return "http://" + this->server.Address().ToString(); }
  [[nodiscard]] const std::vector<HttpRequest>& Requests() const { return this->requests; }

private:
  void Respond(const Exchange& aExchange)
  {
    this->requests.push_back(aExchange->Request());
    this->responders[std::min(this->requests.size(), this->responders.size()) - 1](aExchange);
  }

  std::vector<Responder> responders;
  std::vector<HttpRequest> requests;
  standins::HttpServer server;
};

/// Streams events with the given texts, numbered from aFirst; then sends [DONE] if aComplete, else aborts.
Responder
Stream(int aFirst, const std::vector<std::string>& aTexts, bool aComplete)
{
  return [=](const Exchange& aExchange) {
    aExchange->BeginStream();
    int index = aFirst;
    for (const auto& text : aTexts) {
      const json chunk{ { "choices", json::array({ { { "text", text } } }) } };
      aExchange->Write("id: " + std::to_string(index++) + "\ndata: " + chunk.dump() + "\n\n");
    }
    if (aComplete) {
      aExchange->Write("data: [DONE]\n\n");
      aExchange->End();
    } else {
      aExchange->Abort();
    }
  };
}

Responder
Refuse(int aStatus, const std::string& aRan, bool aRetryable)
{
  return [=](const Exchange& aExchange) {
    const json body{ { "error", { { "kind", "k" }, { "message", "m" }, { "ran", aRan } } } };
    standins::HttpExchange::Headers headers;
    if (aRetryable) {
      headers.emplace_back("Retry-After", "1");
    }
    aExchange->Respond(aStatus, body.dump(), "application/json", headers);
  };
}

PlannedRequest
Draft(bool aResumes)
{
  PlannedRequest request;
  request.kind = RequestKind::Draft;
  request.key = "key";
  request.path = "/v1/completions";
  request.body = "{}";
  request.stream = true;
  request.resumes = aResumes;
  request.expected = " a b c";
  request.deadline = Milliseconds(20000);
  return request;
}

PlannedRequest
Submission()
{
  PlannedRequest request = Draft(false);
  request.kind = RequestKind::Submission;
  request.stream = false;
  request.expected = "r";
  return request;
}

/// Runs one caller until it completes.
std::unique_ptr<Caller>
Run(const PlannedRequest& aRequest, const ScriptedDaemon& aDaemon)
{
  const SystemClock clock;
  const std::vector<std::string> daemons{ aDaemon.Url() };
  TrafficLoop loop(clock, HttpClientSettings());
  std::promise<void> done;
  auto caller =
    std::make_unique<Caller>(loop, aRequest, daemons, 0, [&](Caller&) { done.set_value(); });
  loop.Start();
  loop.Post([&] { caller->Start(); });
  done.get_future().wait();
  loop.Stop();
  return caller;
}

/// Whether the report on this caller is clean if its body was executed aExecutions times.
bool
IsClean(std::unique_ptr<Caller> aCaller, std::int64_t aExecutions)
{
  FleetCounters after;
  after.executions[ExecutionKey(aCaller->Request().body)] = aExecutions;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.push_back(std::move(aCaller));
  return LoadReport(callers, {}, after).IsClean();
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerTests)

BOOST_AUTO_TEST_CASE(AcceptsOnlyTheExpectedAnswerAsCorrect)
{
  const auto request = Draft(false);
  const ScriptedDaemon right({ Stream(0, { " a", " b", " c" }, true) });
  BOOST_CHECK(Run(request, right)->Result().outcome == Outcome::Correct);
  const ScriptedDaemon missing({ Stream(0, { " a", " c" }, true) });
  BOOST_CHECK(Run(request, missing)->Result().outcome == Outcome::Wrong);
  const ScriptedDaemon duplicated({ Stream(0, { " a", " b", " b", " c" }, true) });
  BOOST_CHECK(Run(request, duplicated)->Result().outcome == Outcome::Wrong);
}

BOOST_AUTO_TEST_CASE(RetryAfterConnectionLossContinuesAfterTheLastEvent)
{
  const ScriptedDaemon daemon({ Stream(0, { " a", " b" }, false), Stream(2, { " c" }, true) });
  const auto request = Draft(true);
  const auto caller = Run(request, daemon);
  BOOST_CHECK(caller->Result().outcome == Outcome::Correct);
  BOOST_TEST(daemon.Requests().at(1).Header("last-event-id") == "1");
  BOOST_TEST(daemon.Requests().at(1).Header("idempotency-key") == "key");
}

BOOST_AUTO_TEST_CASE(InconsistentAttemptsAreWrong)
{
  const ScriptedDaemon daemon(
    { Stream(0, { " x" }, false), Stream(0, { " a", " b", " c" }, true) });
  const auto request = Draft(false);
  BOOST_CHECK(Run(request, daemon)->Result().outcome == Outcome::Wrong);
}

BOOST_AUTO_TEST_CASE(RetriesIfTheRefusalHasRetryAfter)
{
  const ScriptedDaemon daemon({ Refuse(503, "no", true), Stream(0, { " a", " b", " c" }, true) });
  const auto request = Draft(false);
  BOOST_CHECK(Run(request, daemon)->Result().outcome == Outcome::Correct);
  const ScriptedDaemon final({ Refuse(404, "no", false) });
  BOOST_CHECK(Run(request, final)->Result().outcome == Outcome::RefusedNotRun);
}

BOOST_AUTO_TEST_CASE(ReportDetectsDuplicatedCallsAndExecutedRefusals)
{
  const Responder answer = [](const Exchange& aExchange) {
    aExchange->Respond(200, R"({"result":"r"})");
  };
  const auto request = Submission();
  const ScriptedDaemon answered({ answer });
  BOOST_TEST(IsClean(Run(request, answered), 1));
  BOOST_TEST(!IsClean(Run(request, answered), 2));
  BOOST_TEST(!IsClean(Run(request, answered), 0));
  const ScriptedDaemon refused({ Refuse(503, "no", false) });
  BOOST_TEST(IsClean(Run(request, refused), 0));
  BOOST_TEST(!IsClean(Run(request, refused), 1));
  const ScriptedDaemon unknown({ Refuse(502, "unknown", false) });
  BOOST_TEST(IsClean(Run(request, unknown), 1));
  BOOST_TEST(!IsClean(Run(request, unknown), 2));
}

BOOST_AUTO_TEST_SUITE_END()
