#include "Lagoonward/Routing/PromptBlocks.h"
#include "UnitTests/StandIns/EngineClient.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lagoonward::standins;
using namespace lagoonward::standins::test;
using nlohmann::json;

namespace {

/// One engine with its scheduler and ledger.
struct Fixture
{
  explicit Fixture(const EngineSettings& aSettings = FastEngineSettings())
    : engine(aSettings, ListenAddress(), this->scheduler, this->ledger)
  {
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() { this->scheduler.Stop(); }

  [[nodiscard]] Completion Send(const json& aBody) const
  {
    return Complete(this->engine.Address(), aBody);
  }

  [[nodiscard]] HttpAnswer Call(const std::string& aMethod, const std::string& aPath,
                                const json& aBody = json()) const
  {
    return Fetch(aMethod, "http://" + this->engine.Address().ToString() + aPath,
                 aBody.is_null() ? std::string() : aBody.dump(), kTimeout);
  }

  Scheduler scheduler;
  ComputeLedger ledger;
  EngineStandIn engine;
};

/// Number of tokens of an answer that is still being generated during the checks of a test.
constexpr int kLongAnswer = 50000;

/// A completion that is read on another thread; generation has started when the constructor returns.
class RunningStream
{
public:
  RunningStream(Fixture& aFixture, const json& aBody)
    : thread([this, &aFixture, aBody] { this->completion = aFixture.Send(aBody); })
  {
    while (aFixture.engine.Counters().generated == 0) {
      std::this_thread::yield();
    }
  }
  RunningStream(const RunningStream&) = delete;
  RunningStream& operator=(const RunningStream&) = delete;
  ~RunningStream() { (void)this->Wait(); }

  /// Waits for the end of the answer.
  [[nodiscard]] const Completion& Wait()
  {
    if (this->thread.joinable()) {
      this->thread.join();
    }
    return this->completion;
  }

private:
  Completion completion;
  std::thread thread;
};

/// A prompt of aWords words.
std::string
LongPrompt(int aWords)
{
  std::string prompt;
  for (int word = 0; word < aWords; ++word) {
    prompt += "word" + std::to_string(word) + " ";
  }
  return prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineStandInTests)

BOOST_AUTO_TEST_CASE(AnswerMatchesTheTokenFunction)
{
  const Fixture fixture;
  const auto answer = fixture.Send(CompletionBody("is plant nine safe", 40));
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.Text() == AnswerText(QuestionFor("is plant nine safe"), 40));
  BOOST_TEST(answer.events.front().at("attempt_id") == "a-1");
  BOOST_TEST(answer.events.back().at("token_count") == answer.events.size() - 2);
}

BOOST_AUTO_TEST_CASE(EveryFieldOfTheQuestionChangesTheAnswer)
{
  const Question base{ "m", "1", "", 7, "p" };
  const auto text = AnswerText(base, 20);
  for (const auto& other : { Question{ "n", "1", "", 7, "p" }, Question{ "m", "2", "", 7, "p" },
                             Question{ "m", "1", "a@1", 7, "p" }, Question{ "m", "1", "", 8, "p" },
                             Question{ "m", "1", "", 7, "q" } }) {
    BOOST_TEST(AnswerText(other, 20) != text);
  }
}

BOOST_AUTO_TEST_CASE(ContinuesAfterTheResumeTokens)
{
  Fixture fixture;
  const auto key = AnswerKey(QuestionFor("p"));
  auto body = CompletionBody("p", 30);
  body["resume_tokens"] = { TokenText(key, 0), TokenText(key, 1), TokenText(key, 2) };
  const auto answer = fixture.Send(body);
  BOOST_TEST(answer.events.at(1).at("index") == 3);
  BOOST_TEST(TokenText(key, 0) + TokenText(key, 1) + TokenText(key, 2) + answer.Text() ==
             AnswerText(QuestionFor("p"), 30));
  BOOST_TEST(fixture.engine.Counters().divergedResumes == 0);
}

BOOST_AUTO_TEST_CASE(WrongResumeTokensChangeTheAnswer)
{
  Fixture fixture;
  auto body = CompletionBody("p", 30);
  body["resume_tokens"] = { " wrong!" };
  const auto answer = fixture.Send(body);
  BOOST_TEST(fixture.engine.Counters().divergedResumes == 1);
  BOOST_TEST(AnswerText(QuestionFor("p"), 30).find(answer.Text()) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesAModelThatIsNotLoaded)
{
  Fixture fixture;
  auto body = CompletionBody("p", 3);
  body["model"] = "another";
  BOOST_TEST(fixture.Send(body).status == 404);
  body["model"] = "drafter";
  body["version"] = "2";
  BOOST_TEST(fixture.Send(body).status == 404);
  BOOST_TEST(fixture.engine.Counters().accepted == 0);
}

BOOST_AUTO_TEST_CASE(CachedPrefixIsNotComputedAgain)
{
  Fixture fixture;
  (void)fixture.Send(CompletionBody(LongPrompt(64), 2));
  (void)fixture.Send(CompletionBody(LongPrompt(64) + "and more", 2));
  const auto counters = fixture.engine.Counters();
  BOOST_TEST(counters.prefillCached == 64);
  BOOST_TEST(counters.prefillComputed == 64 + 2);
  BOOST_TEST(counters.recomputed == 0);
}

BOOST_AUTO_TEST_CASE(CacheEventsHaveTheBlockHashesOfTheDaemon)
{
  const Fixture fixture;
  (void)fixture.Send(CompletionBody(LongPrompt(40), 1));
  const auto page = json::parse(fixture.Call("GET", "/v1/cache-events?from=0").body);
  const auto blocks = lagoonward::PromptBlocks::Split("drafter", "1", "", LongPrompt(40));
  BOOST_TEST(page.at("end") == 2);
  for (std::size_t index = 0; index < blocks.hashes.size(); ++index) {
    const auto published = page.at("events").at(index).at("blocks").at(0).get<std::string>();
    BOOST_TEST(std::stoull(published, nullptr, 16) == blocks.hashes[index]);
  }
}

BOOST_AUTO_TEST_CASE(SameRequestOnAnotherEngineCountsAsRecomputed)
{
  Fixture fixture;
  EngineStandIn other(FastEngineSettings(), ListenAddress(), fixture.scheduler, fixture.ledger);
  (void)fixture.Send(CompletionBody(LongPrompt(20), 4));
  (void)Complete(other.Address(), CompletionBody(LongPrompt(20), 4));
  BOOST_TEST(fixture.engine.Counters().recomputed == 0);
  const auto counters = other.Counters();
  BOOST_TEST(counters.recomputed == counters.prefillComputed + counters.generated);
}

BOOST_AUTO_TEST_CASE(ImportedBlocksNeedNoPrefill)
{
  Fixture fixture;
  EngineStandIn other(FastEngineSettings(), ListenAddress(), fixture.scheduler, fixture.ledger);
  RunningStream running(fixture, CompletionBody(LongPrompt(48), kLongAnswer));
  json exported;
  do {
    exported = json::parse(fixture.Call("POST", "/v1/streams/engine-1-s0/export").body);
  } while (exported.at("bytes") == 0);
  const json order{ { "kv_id", exported.at("kv_id") },
                    { "from", fixture.engine.Address().ToString() } };
  const auto imported =
    Fetch("POST", "http://" + other.Address().ToString() + "/v1/kv/import", order.dump(), kTimeout);
  BOOST_TEST(imported.status == 200);
  BOOST_TEST(json::parse(imported.body).at("blocks") >= 3);
  (void)Complete(other.Address(), CompletionBody(LongPrompt(48), 1));
  BOOST_TEST(other.Counters().prefillCached == 48);
  BOOST_TEST(fixture.Call("DELETE", "/v1/streams/engine-1-s0").status == 200);
  BOOST_TEST(running.Wait().events.back().at("finish_reason") == "cancelled");
  BOOST_TEST(fixture.Call("POST", "/v1/streams/none/export").status == 404);
}

BOOST_AUTO_TEST_CASE(NewReaderContinuesAFinishedStream)
{
  const Fixture fixture;
  const auto first = fixture.Send(CompletionBody("p", 12));
  const auto stream = first.events.front().at("stream_id").get<std::string>();
  const auto again =
    fixture.Send({ { "stream_id", stream }, { "from_token", 2 }, { "attempt_id", "a-2" } });
  BOOST_TEST(again.events.front().at("attempt_id") == "a-2");
  BOOST_TEST(again.events.at(1).at("index") == 2);
  BOOST_TEST(first.Text().substr(first.Text().size() - again.Text().size()) == again.Text());
  BOOST_TEST(fixture.Send({ { "stream_id", "none" }, { "from_token", 0 }, { "attempt_id", "a-3" } })
               .status == 404);
}

BOOST_AUTO_TEST_CASE(CrossedAnswersHaveAnotherAttemptId)
{
  const Fixture fixture;
  for (const std::string mode : { "first", "last" }) {
    (void)fixture.Call("POST", "/faults", { { "fault", "crossed" }, { "mode", mode } });
    const auto answer = fixture.Send(CompletionBody("p", 5));
    const auto& affected = mode == "first" ? answer.events.front() : answer.events.back();
    BOOST_TEST(affected.at("attempt_id") != "a-1");
  }
  // The fault's count is used up
  BOOST_TEST(fixture.Send(CompletionBody("p", 5)).Text() == AnswerText(QuestionFor("p"), 5));
}

BOOST_AUTO_TEST_CASE(CutAndSkippedStreamsAreIncomplete)
{
  const Fixture fixture;
  (void)fixture.Call("POST", "/faults", { { "fault", "skip_token" }, { "after", 3 } });
  const auto skipped = fixture.Send(CompletionBody("p", 8));
  BOOST_TEST(skipped.events.at(4).at("index") == 4);
  (void)fixture.Call("POST", "/faults", { { "fault", "cut" }, { "after", 2 } });
  BOOST_TEST(fixture.Send(CompletionBody("p", 8)).status == 0);
}

BOOST_AUTO_TEST_CASE(OrderWithOutdatedFencingNumberIsRefused)
{
  auto settings = FastEngineSettings();
  settings.fenced = true;
  const Fixture fixture(settings);
  const auto order = [](const std::string& aId, int aFencing) {
    return json{
      { "order_id", aId }, { "fencing", aFencing }, { "kind", "role" }, { "role", "urgent" }
    };
  };
  BOOST_TEST(fixture.Call("POST", "/v1/orders", order("o-1", 5)).status == 200);
  const auto refused = fixture.Call("POST", "/v1/orders", order("o-2", 4));
  BOOST_TEST(refused.status == 409);
  BOOST_TEST(json::parse(refused.body).at("error").at("fencing") == 5);
  BOOST_TEST(json::parse(fixture.Call("GET", "/v1/load").body).at("role") == "urgent");
}

BOOST_AUTO_TEST_CASE(TerminatedEngineIsUnreachable)
{
  Fixture fixture;
  fixture.engine.Terminate();
  BOOST_TEST(fixture.Call("GET", "/v1/load").status == 0);
}

BOOST_AUTO_TEST_CASE(SilentFaultAffectsOpenConnectionsAndNotNewOnes)
{
  Fixture fixture;
  RunningStream running(fixture, CompletionBody("p", kLongAnswer));
  (void)fixture.Call("POST", "/faults", { { "fault", "silent" } });
  BOOST_TEST(fixture.Call("DELETE", "/v1/streams/engine-1-s0").status == 200);
  fixture.engine.Terminate();
  BOOST_TEST(running.Wait().status == 0);
}

BOOST_AUTO_TEST_SUITE_END()
