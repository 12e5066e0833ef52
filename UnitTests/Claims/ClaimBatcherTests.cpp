#include "Lagoonward/Claims/ClaimBatcher.h"
#include "Lagoonward/Claims/ClaimTicket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/FakeLogService.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace lagoonward;
using namespace lagoonward::testing;
using Fault = FakeLogService::Fault;
using Verdict = ClaimAnswer::Verdict;

namespace {

const std::string kStream = "claims/vestland/0";

ClaimKey
Key(int aNumber)
{
  return MakeClaimKey("vestland", "county", std::to_string(aNumber));
}

/// A batcher whose rounds are run by the test.
struct Daemon
{
  Daemon(FakeLogService& aLog, const VirtualClock& aClock, const std::string& aName)
    : clock(aClock)
    , name(aName)
    , batcher(kStream, aName, this->settings, aLog, aClock)
  {
  }

  /// Queues a claim.
  /// @return receives the answer
  std::shared_ptr<std::optional<ClaimAnswer>> Submit(int aKey)
  {
    auto answer = std::make_shared<std::optional<ClaimAnswer>>();
    this->batcher.Submit({ Key(aKey), 1, { this->name, this->sequence++ } },
                         this->clock.BootNow() + Seconds(1), [answer](const ClaimAnswer& aAnswer) {
                           BOOST_TEST(!answer->has_value());
                           *answer = aAnswer;
                         });
    return answer;
  }

  const VirtualClock& clock;
  std::string name;
  ClaimSettings settings;
  std::uint64_t sequence = 0;
  ClaimBatcher batcher;
};

struct Fixture
{
  /// Runs rounds of a daemon's batcher, advancing the clock before each.
  void Step(Daemon& aDaemon, int aRounds = 1)
  {
    for (int round = 0; round < aRounds; ++round) {
      this->clock.Advance(Milliseconds(100));
      static_cast<void>(aDaemon.batcher.Step());
    }
  }

  FakeLogService log;
  VirtualClock clock;
  Daemon first{ log, clock, "d-1" };
  Daemon second{ log, clock, "d-2" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimBatcherTests, Fixture)

BOOST_AUTO_TEST_CASE(QueuedClaimsAreWrittenInOneAppend)
{
  std::vector<std::shared_ptr<std::optional<ClaimAnswer>>> answers;
  answers.reserve(100);
  for (int key = 0; key < 100; ++key) {
    answers.push_back(this->first.Submit(key));
  }
  this->Step(this->first);
  for (const auto& answer : answers) {
    BOOST_TEST((answer->value().verdict == Verdict::Won));
  }
  BOOST_TEST(this->log.End(kStream) == 1);
  BOOST_TEST(this->first.batcher.GetCounters().claims == 100U);

  // The next append waits for the flush interval
  const auto next = this->first.Submit(100);
  BOOST_TEST(this->first.batcher.Step().count() > 0);
  BOOST_TEST(!next->has_value());
}

BOOST_AUTO_TEST_CASE(OneOfTwoDaemonsClaimingAKeyWins)
{
  const auto winner = this->first.Submit(1);
  const auto loser = this->second.Submit(1);
  this->Step(this->first);
  this->Step(this->second);
  BOOST_TEST((winner->value().verdict == Verdict::Won));
  BOOST_TEST((loser->value().verdict == Verdict::Lost));
  BOOST_TEST(loser->value().holder.id.incarnation == "d-1");
  BOOST_TEST((ToError(loser->value(), 1).kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST((ToError(loser->value(), 2).kind == ErrorKind::KeyConflict));

  // Claiming the same key again needs no append
  const auto again = this->first.Submit(1);
  this->Step(this->first);
  BOOST_TEST((again->value().verdict == Verdict::Lost));
  BOOST_TEST(this->log.End(kStream) == 1);
}

BOOST_AUTO_TEST_CASE(ClaimIsDecidedByReadingWhenTheAppendResponseIsLost)
{
  for (const auto fault : { Fault::AnswerLost, Fault::Refused, Fault::Late }) {
    const int key = static_cast<int>(fault);
    this->log.FailAppends({ fault });
    const auto answer = this->first.Submit(key);
    this->Step(this->first, 3);
    this->log.StoreLateAppends();
    BOOST_TEST((answer->value().verdict == Verdict::Won));
    const auto other = this->second.Submit(key);
    this->Step(this->second);
    BOOST_TEST((other->value().verdict == Verdict::Lost));
    BOOST_TEST(other->value().holder.id.incarnation == "d-1");
  }
}

BOOST_AUTO_TEST_CASE(ClaimsAreRefusedDuringAnOutageAndTheKeyIsFreeAfterWithdrawal)
{
  static_cast<void>(this->first.Submit(0));
  this->Step(this->first);

  // The append takes effect late, after the claim was refused
  this->log.FailAppends({ Fault::Late });
  this->log.SetUnreadable(true);
  const auto refused = this->first.Submit(1);
  this->Step(this->first, 5);
  BOOST_TEST((refused->value().verdict == Verdict::Unavailable));
  BOOST_TEST(refused->value().maybeRecorded);
  BOOST_TEST((ToError(refused->value(), 1).ran == Ran::No));

  // A claim during the outage is answered immediately
  const auto during = this->first.Submit(2);
  BOOST_TEST((during->value().verdict == Verdict::Unavailable));
  BOOST_TEST(!during->value().maybeRecorded);

  // The claimant withdraws; once the log is available again, the key can be claimed
  this->first.batcher.SubmitOutcome({ Key(1), { "d-1", 1 }, Ran::No });
  this->log.SetUnreadable(false);
  this->log.StoreLateAppends();
  this->Step(this->first, 3);
  const auto retried = this->second.Submit(1);
  this->Step(this->second);
  BOOST_TEST((retried->value().verdict == Verdict::Won));
}

BOOST_AUTO_TEST_CASE(KeyStaysHeldWhenItsClaimantCrashesBeforeDispatch)
{
  // The claimant crashes between claim and dispatch: no other daemon may run the request
  const auto won = this->first.Submit(1);
  this->Step(this->first);
  BOOST_TEST((won->value().verdict == Verdict::Won));
  const auto retried = this->second.Submit(1);
  this->Step(this->second);
  BOOST_TEST((ToError(retried->value(), 1).ran == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(ClaimsAreAnsweredUnreachableWhileTheStreamIsLoaded)
{
  for (int key = 0; key < 3; ++key) {
    static_cast<void>(this->first.Submit(key));
    this->Step(this->first);
  }
  const auto waiting = this->second.Submit(5);
  this->clock.Advance(Seconds(1) - Milliseconds(200));
  this->log.SetUnreadable(true);
  this->Step(this->second);
  BOOST_TEST((waiting->value().verdict == Verdict::Unreachable));
  BOOST_TEST(!waiting->value().maybeRecorded);

  // After it has read the stream, it answers claims itself
  this->log.SetUnreadable(false);
  this->Step(this->second, 2);
  const auto known = this->second.Submit(1);
  this->Step(this->second);
  BOOST_TEST((known->value().verdict == Verdict::Lost));
}

BOOST_AUTO_TEST_CASE(PausedBatcherContinuesReadingAfterTruncation)
{
  static_cast<void>(this->first.Submit(1));
  this->Step(this->first);
  this->clock.Advance(std::chrono::hours(24));
  static_cast<void>(this->second.Submit(2));
  this->Step(this->second);
  static_cast<void>(this->second.Submit(3));
  this->Step(this->second);
  this->log.Truncate(kStream, 2);
  const auto answer = this->first.Submit(3);
  this->Step(this->first);
  BOOST_TEST((answer->value().verdict == Verdict::Lost));
}

BOOST_AUTO_TEST_CASE(AtMostOneDispatchPerKeyUnderRandomFaults)
{
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int aBound) { return static_cast<int>(random() % aBound); };
    FakeLogService faulty;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<int, int> dispatched;
    std::vector<std::function<void()>> deferred; // deferred actions of paused claimants
    for (int step = 0; step < 150; ++step) {
      if (daemons.size() < 3 || draw(40) == 0) {
        daemons.push_back(std::make_unique<Daemon>(
          faulty, this->clock, "d-" + std::to_string(seed) + "-" + std::to_string(step)));
      }
      Daemon& daemon = *daemons[static_cast<std::size_t>(draw(static_cast<int>(daemons.size())))];
      const int key = draw(6);
      const Claim claim{ Key(key), 1, { daemon.name, 1000 + daemon.sequence++ } };
      const auto ticket = std::make_shared<ClaimTicket>(claim, this->clock.BootNow() + Seconds(5));
      const auto settle = [&, key, ticket](bool aWon) {
        if (aWon && ticket->MarkWon() && ticket->BeginDispatch(this->clock)) {
          ++dispatched[key];
        } else if (ticket->Close()) {
          daemon.batcher.SubmitOutcome({ Key(key), ticket->GetClaim().id, Ran::No });
        }
      };
      const bool pauses = draw(4) == 0;
      daemon.batcher.Submit(claim, this->clock.BootNow() + Seconds(1),
                            [=, &deferred](const ClaimAnswer& aAnswer) {
                              const bool won = aAnswer.verdict == Verdict::Won;
                              if (pauses) {
                                deferred.emplace_back([settle, won] { settle(won); });
                              } else {
                                settle(won);
                              }
                            });
      faulty.FailAppends({ static_cast<Fault>(draw(4)), static_cast<Fault>(draw(4)) });
      faulty.SetUnreadable(draw(4) == 0);
      if (draw(6) == 0) {
        faulty.StoreLateAppends();
      }
      this->Step(*daemons[static_cast<std::size_t>(draw(static_cast<int>(daemons.size())))]);
    }
    for (const auto& action : deferred) {
      action();
    }
    for (const auto& [key, count] : dispatched) {
      BOOST_TEST(count <= 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
