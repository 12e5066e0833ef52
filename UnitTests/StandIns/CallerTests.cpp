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
using Answering = std::function<void(const Exchange&)>;

/// Answers each try of one request in its scripted way; the last way serves all further tries.
class ScriptedDaemon
{
public:
  explicit ScriptedDaemon(std::vector<Answering> aWays)
    : ways(std::move(aWays))
    , server(ListenAddress(), [this](const Exchange& aExchange) { this->Answer(aExchange); })
  {
  }

  [[nodiscard]] std::string Url() const { return "http://" + this->server.Address().ToString(); }
  [[nodiscard]] const std::vector<HttpRequest>& Seen() const { return this->seen; }

private:
  void Answer(const Exchange& aExchange)
  {
    this->seen.push_back(aExchange->Request());
    this->ways[std::min(this->seen.size(), this->ways.size()) - 1](aExchange);
  }

  std::vector<Answering> ways;
  std::vector<HttpRequest> seen;
  standins::HttpServer server;
};

/// Sends events with the texts given, numbered from aFirst, and the closing event if it is wanted.
Answering
Stream(int aFirst, const std::vector<std::string>& aTexts, bool aWhole)
{
  return [=](const Exchange& aExchange) {
    aExchange->BeginStream();
    int index = aFirst;
    for (const auto& text : aTexts) {
      const json chunk{ { "choices", json::array({ { { "text", text } } }) } };
      aExchange->Write("id: " + std::to_string(index++) + "\ndata: " + chunk.dump() + "\n\n");
    }
    if (aWhole) {
      aExchange->Write("data: [DONE]\n\n");
      aExchange->End();
    } else {
      aExchange->Abort();
    }
  };
}

Answering
Refuse(int aStatus, const std::string& aRan, bool aComeBack)
{
  return [=](const Exchange& aExchange) {
    const json body{ { "error", { { "kind", "k" }, { "message", "m" }, { "ran", aRan } } } };
    standins::HttpExchange::Headers headers;
    if (aComeBack) {
      headers.emplace_back("Retry-After", "1");
    }
    aExchange->Respond(aStatus, body.dump(), "application/json", headers);
  };
}

PlannedRequest
Draft(bool aContinues)
{
  PlannedRequest request;
  request.kind = RequestKind::Draft;
  request.key = "key";
  request.path = "/v1/completions";
  request.body = "{}";
  request.stream = true;
  request.continues = aContinues;
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

/// Runs one caller to its end.
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

/// The verdict of the report on one caller, with so many executions of its body.
bool
IsClean(std::unique_ptr<Caller> aCaller, std::int64_t aExecutions)
{
  FleetAccount after;
  after.executions[ExecutionKey(aCaller->Request().body)] = aExecutions;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.push_back(std::move(aCaller));
  return LoadReport(callers, {}, after).IsClean();
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerTests)

BOOST_AUTO_TEST_CASE(TakesOnlyTheRightAnswerForWhole)
{
  const auto request = Draft(false);
  const ScriptedDaemon right({ Stream(0, { " a", " b", " c" }, true) });
  BOOST_CHECK(Run(request, right)->Result().outcome == Outcome::Whole);
  const ScriptedDaemon missing({ Stream(0, { " a", " c" }, true) });
  BOOST_CHECK(Run(request, missing)->Result().outcome == Outcome::Wrong);
  const ScriptedDaemon doubled({ Stream(0, { " a", " b", " b", " c" }, true) });
  BOOST_CHECK(Run(request, doubled)->Result().outcome == Outcome::Wrong);
}

BOOST_AUTO_TEST_CASE(ContinuesAfterTheLastEvent)
{
  const ScriptedDaemon daemon({ Stream(0, { " a", " b" }, false), Stream(2, { " c" }, true) });
  const auto request = Draft(true);
  const auto caller = Run(request, daemon);
  BOOST_CHECK(caller->Result().outcome == Outcome::Whole);
  BOOST_TEST(daemon.Seen().at(1).Header("last-event-id") == "1");
  BOOST_TEST(daemon.Seen().at(1).Header("idempotency-key") == "key");
}

BOOST_AUTO_TEST_CASE(ContradictingTriesAreWrong)
{
  const ScriptedDaemon daemon(
    { Stream(0, { " x" }, false), Stream(0, { " a", " b", " c" }, true) });
  const auto request = Draft(false);
  BOOST_CHECK(Run(request, daemon)->Result().outcome == Outcome::Wrong);
}

BOOST_AUTO_TEST_CASE(ComesBackWhenToldTo)
{
  const ScriptedDaemon daemon({ Refuse(503, "no", true), Stream(0, { " a", " b", " c" }, true) });
  const auto request = Draft(false);
  BOOST_CHECK(Run(request, daemon)->Result().outcome == Outcome::Whole);
  const ScriptedDaemon final({ Refuse(404, "no", false) });
  BOOST_CHECK(Run(request, final)->Result().outcome == Outcome::RefusedNotRun);
}

BOOST_AUTO_TEST_CASE(ReportSeesDoubledCallsAndFalsePromises)
{
  const Answering answer = [](const Exchange& aExchange) {
    aExchange->Respond(200, R"({"result":"r"})");
  };
  const auto request = Submission();
  const ScriptedDaemon whole({ answer });
  BOOST_TEST(IsClean(Run(request, whole), 1));
  BOOST_TEST(!IsClean(Run(request, whole), 2));
  BOOST_TEST(!IsClean(Run(request, whole), 0));
  const ScriptedDaemon refused({ Refuse(503, "no", false) });
  BOOST_TEST(IsClean(Run(request, refused), 0));
  BOOST_TEST(!IsClean(Run(request, refused), 1));
  const ScriptedDaemon unknown({ Refuse(502, "unknown", false) });
  BOOST_TEST(IsClean(Run(request, unknown), 1));
  BOOST_TEST(!IsClean(Run(request, unknown), 2));
}

BOOST_AUTO_TEST_SUITE_END()
