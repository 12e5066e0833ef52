#include "Lagoonward/Attempts/RemoteAnswer.h"
#include "Lagoonward/Core/SystemClock.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <future>

using namespace lagoonward;

namespace {

/// A directory whose serving daemon returns prepared parts.
class ScriptedDirectory final : public RequestDirectory
{
public:
  void PublishLocation(const RequestLocation&) override {}
  void Find(const std::string&, FindCallback aFound) override { aFound(std::nullopt); }

  void Read(std::uint64_t, const AnswerQuery& aQuery, ReadCallback aPart) override
  {
    this->startPositions.push_back(aQuery.fromToken);
    Result<AnswerPart> part = std::move(this->parts.front());
    this->parts.pop_front();
    aPart(std::move(part));
  }

  std::deque<Result<AnswerPart>> parts;
  std::vector<std::size_t> startPositions;
};

AnswerPart
MakePart(std::vector<std::string> aTokens, bool aEnded)
{
  AnswerPart part;
  part.isKnown = true;
  part.tokens = std::move(aTokens);
  part.ended = aEnded;
  part.finishReason = "stop";
  return part;
}

struct Fixture
{
  Fixture() { this->loop.Start(); }

  RemoteAnswer::End Follow()
  {
    std::promise<RemoteAnswer::End> end;
    const auto remote = std::make_shared<RemoteAnswer>(
      this->loop, this->directory, this->settings, 1, AnswerQuery{ "k", 1, 0 }, this->answer,
      [&](RemoteAnswer::End aEnd) { end.set_value(aEnd); });
    this->loop.Post([remote] { remote->Start(); });
    return end.get_future().get();
  }

  SystemClock clock;
  AttemptSettings settings{ .remoteReadInterval = Milliseconds(1) };
  ScriptedDirectory directory;
  AnswerPtr answer = std::make_shared<Answer>("r-1", "permit", 0);
  TrafficLoop loop{ clock, {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RemoteAnswerTests, Fixture)

BOOST_AUTO_TEST_CASE(EachReadStartsAfterTheLastLocalToken)
{
  this->directory.parts.emplace_back(MakePart({ "a", "b" }, false));
  this->directory.parts.emplace_back(MakePart({}, false));
  this->directory.parts.emplace_back(MakePart({ "c" }, true));
  BOOST_TEST((this->Follow() == RemoteAnswer::End::Complete));
  BOOST_TEST(this->answer->Text() == "abc");
  BOOST_TEST(this->answer->FinishReason() == "stop");
  BOOST_TEST(this->directory.startPositions == (std::vector<std::size_t>{ 0, 2, 2 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(LostDaemonKeepsTheTokensAndLeavesTheAnswerOpen)
{
  this->directory.parts.emplace_back(MakePart({ "a" }, false));
  this->directory.parts.emplace_back(Error(ErrorKind::PlatformUnavailable, "gone"));
  BOOST_TEST((this->Follow() == RemoteAnswer::End::Lost));
  BOOST_TEST(this->answer->TokenCount() == 1U);
  BOOST_TEST(!this->answer->HasEnded());
}

BOOST_AUTO_TEST_CASE(RemoteFailureFailsTheLocalAnswer)
{
  AnswerPart part = MakePart({}, true);
  part.failure = Error(ErrorKind::OutcomeUnknown, "lost");
  this->directory.parts.emplace_back(part);
  BOOST_TEST((this->Follow() == RemoteAnswer::End::Complete));
  BOOST_TEST((this->answer->Failure()->kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(AnotherBodyUnderTheKeyEndsAsConflict)
{
  AnswerPart part;
  part.isKnown = true;
  part.isConflict = true;
  this->directory.parts.emplace_back(part);
  BOOST_TEST((this->Follow() == RemoteAnswer::End::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()
