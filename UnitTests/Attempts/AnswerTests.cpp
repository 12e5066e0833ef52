#include "Lagoonward/Attempts/AnswerRegistry.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// Records the text and the end that a caller would receive.
class Recorder final : public AnswerSubscriber
{
public:
  void OnChanged(const Answer& aAnswer) override
  {
    this->text = aAnswer.Text();
    this->ended = aAnswer.Ended();
  }
  [[nodiscard]] bool IsDisconnected() override { return this->disconnected; }

  std::string text;
  bool ended = false;
  bool disconnected = false;
};

AnswerPtr
MakeAnswer()
{
  return std::make_shared<Answer>("r-1", "permit", 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerTests)

BOOST_AUTO_TEST_CASE(LateSubscriberSeesAllTokens)
{
  const AnswerPtr answer = MakeAnswer();
  answer->Append("a");
  answer->Append("bc");
  const auto recorder = std::make_shared<Recorder>();
  answer->Subscribe(recorder);
  BOOST_TEST(recorder->text == "abc");
  BOOST_TEST(answer->Token(1) == "bc");
  answer->Append("d");
  answer->Publish();
  BOOST_TEST(recorder->text == "abcd");
  answer->Finish("stop");
  BOOST_TEST(recorder->ended);
}

BOOST_AUTO_TEST_CASE(DisconnectedSubscribersAreRemoved)
{
  const AnswerPtr answer = MakeAnswer();
  const auto recorder = std::make_shared<Recorder>();
  answer->Subscribe(recorder);
  BOOST_TEST(answer->RemoveDisconnectedSubscribers() == 1U);
  recorder->disconnected = true;
  BOOST_TEST(answer->RemoveDisconnectedSubscribers() == 0U);
}

BOOST_AUTO_TEST_CASE(SameKeyAndBodyJoinsAndAnotherBodyConflicts)
{
  VirtualClock clock;
  AnswerRegistry registry({}, clock);
  const auto first = registry.FindOrCreate("c/k", 1, MakeAnswer);
  BOOST_TEST((first.outcome == RegistryOutcome::Created));
  const auto second = registry.FindOrCreate("c/k", 1, MakeAnswer);
  BOOST_TEST((second.outcome == RegistryOutcome::Joined));
  BOOST_TEST(second.answer == first.answer);
  BOOST_TEST((registry.FindOrCreate("c/k", 2, MakeAnswer).outcome == RegistryOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(NonIdempotentFailureFreesTheKeyOnlyIfItDidNotRun)
{
  VirtualClock clock;
  AnswerRegistry registry({}, clock);
  registry.FindOrCreate("a", 1, MakeAnswer).answer->Fail(Error(ErrorKind::Overloaded, "busy"));
  registry.OnEnded("a", false);
  BOOST_TEST((registry.FindOrCreate("a", 1, MakeAnswer).outcome == RegistryOutcome::Created));
  registry.FindOrCreate("b", 1, MakeAnswer).answer->Fail(Error(ErrorKind::EndpointFailed, "lost"));
  registry.OnEnded("b", false);
  BOOST_TEST((registry.FindOrCreate("b", 1, MakeAnswer).outcome == RegistryOutcome::Joined));
}

BOOST_AUTO_TEST_CASE(FailureOfAnIdempotentRequestFreesTheKey)
{
  VirtualClock clock;
  AnswerRegistry registry({}, clock);
  registry.FindOrCreate("c", 1, MakeAnswer)
    .answer->Fail(Error(ErrorKind::DeadlineExceeded, "late"));
  registry.OnEnded("c", true);
  BOOST_TEST((registry.FindOrCreate("c", 1, MakeAnswer).outcome == RegistryOutcome::Created));
}

BOOST_AUTO_TEST_CASE(FinishedAnswersExpireAndAreBounded)
{
  VirtualClock clock;
  AnswerRegistry registry({ .answerBytes = 1 }, clock);
  for (const char* key : { "a", "b" }) {
    registry.FindOrCreate(key, 1, MakeAnswer).answer->Finish("stop");
    registry.OnEnded(key, false);
  }
  // The oldest answer is evicted to respect the memory limit; the last one is never evicted
  BOOST_TEST(registry.Size() == 1U);
  clock.Advance(AttemptSettings{}.answerLifetime);
  registry.RemoveExpired();
  BOOST_TEST(registry.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
