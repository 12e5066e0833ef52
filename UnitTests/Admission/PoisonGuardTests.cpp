#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <memory>
#include <optional>
#include <random>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kRequest = 77;

struct Fixture
{
  /// An endpoint is lost while it runs the request, which was sent there some time before.
  void Crash(std::uint64_t aEndpoint, std::uint64_t aDomain,
             Milliseconds aSentBefore = Milliseconds(50))
  {
    this->guard.OnCrash({ kRequest, aEndpoint, aDomain, 0, aSentBefore.count() });
  }

  VirtualClock clock;
  PoisonGuard guard{ {}, clock };
};

/// Daemons whose verdicts are sent at an interval and may be lost.
class Fleet
{
public:
  /// A request that crashes each endpoint is received by random daemons.
  Fleet(int aDaemons, Milliseconds aUpdateInterval, double aLossProbability, std::uint64_t aSeed)
    : updateInterval(aUpdateInterval)
    , lossProbability(aLossProbability)
    , random(aSeed)
  {
    for (int index = 0; index < aDaemons; ++index) {
      this->guards.push_back(std::make_unique<PoisonGuard>(PoisonSettings{}, this->clock));
    }
    // Two daemons own the request's key
    for (auto& guard : this->guards) {
      guard->OnReport([this](const CrashReport& aReport) {
        this->guards.front()->OnToldCrash(aReport);
        this->guards.back()->OnToldCrash(aReport);
      });
    }
  }

  /// Runs for one minute. @return number of sends later than the bound after the third crash
  int Run(Milliseconds aRequestInterval, Milliseconds aBound)
  {
    const TimePoint startedAt = this->clock.Now();
    TimePoint nextUpdateAt = startedAt + this->updateInterval;
    std::optional<TimePoint> thirdCrashAt;
    int crashes = 0;
    int lateSends = 0;
    for (TimePoint now = startedAt; now < startedAt + Seconds(60); now += aRequestInterval) {
      this->clock.Advance(now - this->clock.Now());
      if (now >= nextUpdateAt) {
        this->SendVerdicts();
        nextUpdateAt += this->updateInterval;
      }
      PoisonGuard& guard = *this->guards[this->random() % this->guards.size()];
      if (guard.IsPoisoned(kRequest)) {
        continue;
      }
      lateSends += thirdCrashAt && now > *thirdCrashAt + aBound ? 1 : 0;
      ++crashes;
      guard.OnCrash({ kRequest, static_cast<std::uint64_t>(crashes), this->random() % 4, 0, 0 });
      thirdCrashAt = crashes == 3 ? now : thirdCrashAt;
    }
    return lateSends;
  }

private:
  /// Sends the verdicts of an owner of the key to all daemons; some are lost.
  void SendVerdicts()
  {
    std::bernoulli_distribution isLost(this->lossProbability);
    const auto verdicts = this->guards.front()->Notes();
    for (auto& guard : this->guards) {
      if (!isLost(this->random)) {
        guard->OnNotes(verdicts);
      }
    }
  }

  VirtualClock clock;
  Milliseconds updateInterval;
  double lossProbability;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<PoisonGuard>> guards;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonGuardTests, Fixture)

/// A request that crashes each endpoint is received by random daemons. It is poisoned after three crashes; once
/// connected daemons must have received each other's verdicts, at most three more sends are allowed.
BOOST_DATA_TEST_CASE(AtMostThreeSendsAfterTheUpdateDelay,
                     boost::unit_test::data::make({ 2, 8, 40, 300, 600 }) *
                       boost::unit_test::data::make({ 30, 300, 1900 }) *
                       boost::unit_test::data::make({ 0.0, 0.3 }),
                     daemons, requestInterval, lossProbability)
{
  // At most three rounds of updates, a quarter of a second each, up to two seconds under load
  for (const Milliseconds updateInterval : { Milliseconds(250), Milliseconds(1000) }) {
    Fleet fleet(daemons, updateInterval, lossProbability,
                static_cast<std::uint64_t>(daemons + requestInterval));
    // Verdicts lost in one round are sent again in the next
    const Milliseconds bound = lossProbability > 0 ? 5 * updateInterval : 3 * updateInterval;
    BOOST_TEST(fleet.Run(Milliseconds(requestInterval), std::max(bound, Milliseconds(3000))) <= 3);
  }
}

BOOST_AUTO_TEST_CASE(RequestIsPoisonedAfterThreeCrashes)
{
  this->Crash(1, 1);
  this->clock.Advance(Seconds(2));
  this->Crash(2, 2);
  BOOST_TEST(this->guard.IsSuspect(kRequest));
  BOOST_TEST(!this->guard.IsPoisoned(kRequest));
  this->clock.Advance(Seconds(2));
  this->Crash(3, 1);
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
  BOOST_TEST(this->guard.Poisoned() == 1);
}

BOOST_AUTO_TEST_CASE(LossOfAFailureDomainCountsAsOneCrash)
{
  for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
    this->Crash(endpoint, 1);
    this->clock.Advance(Milliseconds(2));
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(CrashesInOneDomainCountSeparatelyIfSentAfterEachLoss)
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, 1, Milliseconds(10));
    this->clock.Advance(Milliseconds(30));
  }
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(RepeatedReportsOfOneEndpointCountOnce)
{
  for (int time = 0; time < 5; ++time) {
    this->Crash(1, 1, Milliseconds(0));
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

/// Guards against poisoning streams that ran beside a request that crashes endpoints: before any stream had completed,
/// three endpoints crashed because of another request, each with some of the same streams, and the next sends of these
/// streams were refused.
BOOST_AUTO_TEST_CASE(CrashAfterPartOfTheAnswerCountsHalf)
{
  for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
    BOOST_TEST(!this->guard.IsPoisoned(kRequest));
    this->guard.OnCrash({ kRequest, endpoint, endpoint, 0, 50, true });
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(RequestThatCompletedRecentlyIsNotBlamed)
{
  for (std::uint64_t endpoint = 1; endpoint <= 10; ++endpoint) {
    this->guard.OnWhole(kRequest);
    this->clock.Advance(Seconds(3));
    this->Crash(endpoint, endpoint);
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(CompletionOnAnotherDaemonClearsTheRequest)
{
  PoisonGuard other({}, this->clock);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  other.OnWhole(kRequest);
  // The daemon that observed the completion answers the verdict with the status Cleared
  other.OnNotes(this->guard.Notes());
  BOOST_TEST(!other.IsPoisoned(kRequest));
  this->guard.OnNotes(other.Notes());
  BOOST_TEST(!this->guard.IsPoisoned(kRequest));
  // Earlier crashes are not counted any more
  this->clock.Advance(Seconds(20));
  this->Crash(4, 4);
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(OneCrashAfterExpiryPoisonsTheRequestAgain)
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  this->clock.Advance(Seconds(601));
  BOOST_TEST(!this->guard.IsPoisoned(kRequest));
  this->Crash(4, 4);
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(VerdictsExchangedBetweenDaemonsExpire)
{
  PoisonGuard other({}, this->clock);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  for (int round = 0; round < 700; ++round) {
    other.OnNotes(this->guard.Notes());
    this->clock.Advance(Seconds(1));
    this->guard.OnNotes(other.Notes());
  }
  BOOST_TEST(!this->guard.IsPoisoned(kRequest));
  BOOST_TEST(!other.IsPoisoned(kRequest));
}

/// A caller that sends many different requests must not evict the crash count of the one that crashes endpoints.
BOOST_AUTO_TEST_CASE(RequestsWithOneCrashDoNotEvictOneWithTwo)
{
  for (std::uint64_t endpoint = 1; endpoint <= 2; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(2));
  }
  for (std::uint64_t request = 1000; request < 21'000; ++request) {
    this->guard.OnToldCrash({ request, request, 9, 0, 0 });
  }
  this->Crash(3, 3);
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(NumberOfSentVerdictsIsBounded)
{
  for (std::uint64_t request = 1000; request < 1500; ++request) {
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
      this->guard.OnToldCrash({ request, endpoint, endpoint, 0, 0 });
    }
  }
  BOOST_TEST(this->guard.Poisoned() == 500);
  BOOST_TEST(this->guard.Notes().size() == PoisonSettings{}.maximumVerdicts);
}

BOOST_AUTO_TEST_CASE(ImplausibleVerdictsAndReportsAreIgnored)
{
  const std::vector<PoisonNote> verdicts{ { kRequest, static_cast<PoisonStanding>(9), 5000 } };
  this->guard.OnNotes(verdicts);
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
  // Age beyond any retention
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->guard.OnToldCrash(
      { kRequest, endpoint, endpoint, std::numeric_limits<std::int64_t>::max(), 0 });
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_SUITE_END()
