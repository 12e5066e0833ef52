#include "Lagoonward/Attempts/EngineStream.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>
#include <optional>

using namespace lagoonward;

namespace {

/// How an attempt ended.
struct AttemptResult
{
  bool finished = false;
  AttemptFailure failure = AttemptFailure::Broken;
};

/// Waits for the result of one attempt.
class Waiter final : public EngineStreamListener
{
public:
  void OnStreamOpened(const std::string&) override {}
  void OnStreamProgress(std::size_t) override {}
  void OnStreamFinished(const std::string&) override { this->result.set_value({ true, {} }); }
  void OnStreamFailed(AttemptFailure aFailure, const std::string&) override
  {
    this->result.set_value({ false, aFailure });
  }

  std::promise<AttemptResult> result;
};

constexpr std::string_view kFirst =
  R"({"attempt_id":"a","stream_id":"s","model":"m","version":"1"})";
constexpr std::string_view kLast =
  R"({"attempt_id":"a","model":"m","version":"1","finish_reason":"stop","token_count":2})";

struct Fixture
{
  /// Runs one attempt at an engine that responds with these events.
  AttemptResult Run(std::vector<std::string_view> aEvents, int aStatus = 200)
  {
    HttpServer engine({}, [&](const HttpRequest&, const HttpExchangePtr& aExchange) {
      std::string body;
      for (const std::string_view event : aEvents) {
        body += fmt::format("data: {}\n\n", event);
      }
      aExchange->Respond(aStatus, {}, body);
    });
    BOOST_REQUIRE(engine.Start().has_value());
    Waiter waiter;
    EngineAttempt attempt;
    attempt.attemptId = "a";
    attempt.baseUrl = fmt::format("http://127.0.0.1:{}", engine.Port());
    std::optional<EngineStream> stream;
    TrafficLoop loop(this->clock, {});
    loop.Start();
    loop.Post([&] {
      stream.emplace(loop, this->call, attempt, this->answer, 4096, waiter);
      stream->Start();
    });
    const AttemptResult result = waiter.result.get_future().get();
    loop.Stop();
    return result;
  }

  SystemClock clock;
  EngineCall call{ .requestId = "r", .model = "m", .version = "1", .prompt = "p", .maxTokens = 9 };
  Answer answer{ "r", "m", 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineStreamTests, Fixture)

BOOST_AUTO_TEST_CASE(CompleteStreamFillsTheAnswer)
{
  const AttemptResult result =
    this->Run({ kFirst, R"({"index":0,"text":"x"})", R"({"index":1,"text":"y"})", kLast });
  BOOST_TEST(result.finished);
  BOOST_TEST(this->answer.Text() == "xy");
}

BOOST_AUTO_TEST_CASE(TokenThatNamesAnotherAttemptIsNotRelayed)
{
  const AttemptResult result = this->Run(
    { kFirst, R"({"index":0,"text":"x"})", R"({"attempt_id":"b","index":1,"text":"z"})", kLast });
  BOOST_TEST((result.failure == AttemptFailure::Foreign));
  BOOST_TEST(this->answer.Text() == "x");
}

BOOST_AUTO_TEST_CASE(FirstOrLastEventWithWrongOrMissingIdentityFailsAsForeign)
{
  BOOST_TEST(
    (this->Run({ R"({"attempt_id":"b","stream_id":"s","model":"m","version":"1"})" }).failure ==
     AttemptFailure::Foreign));
  BOOST_TEST(
    (this->Run({ R"({"attempt_id":"a","stream_id":"s","model":"m","version":"2"})" }).failure ==
     AttemptFailure::Foreign));
  BOOST_TEST((this->Run({ kFirst, R"({"stream_id":"s","model":"m","version":"1"})" }).failure ==
              AttemptFailure::Foreign));
}

BOOST_AUTO_TEST_CASE(SkippedRepeatedOrMiscountedTokensFailAsMalformed)
{
  BOOST_TEST(
    (this->Run({ kFirst, R"({"index":1,"text":"y"})" }).failure == AttemptFailure::Malformed));
  BOOST_TEST((this->Run({ kFirst, R"({"index":0,"text":"x"})", kLast }).failure ==
              AttemptFailure::Malformed));
  BOOST_TEST(
    (this->Run({ kFirst, R"({"index":0,"text":"x"})" }).failure == AttemptFailure::Malformed));
}

/// Guards against a part that counts as the whole answer, as its stream was cancelled by another call.
BOOST_AUTO_TEST_CASE(CancelledStreamIsNotFinished)
{
  const AttemptResult result = this->Run(
    { kFirst, R"({"index":0,"text":"x"})", R"({"index":1,"text":"y"})",
      R"({"attempt_id":"a","model":"m","version":"1","finish_reason":"cancelled","token_count":2})" });
  BOOST_TEST(!result.finished);
  BOOST_TEST((result.failure == AttemptFailure::Cancelled));
  BOOST_TEST(this->answer.Text() == "xy");
}

/// Guards against an engine that sends tokens without end, all of which an answer keeps.
BOOST_AUTO_TEST_CASE(MoreTokensThanRequestedFailAsMalformed)
{
  std::vector<std::string> events;
  for (int index = 0; index <= this->call.maxTokens; ++index) {
    events.push_back(fmt::format(R"({{"index":{},"text":"x"}})", index));
  }
  std::vector<std::string_view> views{ kFirst };
  views.insert(views.end(), events.begin(), events.end());
  BOOST_TEST((this->Run(views).failure == AttemptFailure::Malformed));
  BOOST_TEST(this->answer.TokenCount() == static_cast<std::size_t>(this->call.maxTokens));
}

BOOST_AUTO_TEST_CASE(CutStreamAndStatus500AreBrokenAndStatus503IsRejected)
{
  BOOST_TEST((this->Run({ kFirst }).failure == AttemptFailure::Broken));
  BOOST_TEST((this->Run({}, 503).failure == AttemptFailure::Rejected));
  BOOST_TEST((this->Run({}, 500).failure == AttemptFailure::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
