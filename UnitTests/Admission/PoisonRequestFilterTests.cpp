#include "Lagoonward/Admission/PoisonRequestFilter.h"
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
    this->filter.OnCrash({ kRequest, aEndpoint, aDomain, 0, aSentBefore.count() });
  }

  VirtualClock clock;
  PoisonRequestFilter filter{ {}, clock };
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
      this->filters.push_back(
        std::make_unique<PoisonRequestFilter>(PoisonFilterSettings{}, this->clock));
    }
    // Two daemons own the request's key
    for (auto& filter : this->filters) {
      filter->SetReportListener([this](const CrashReport& aReport) {
        this->filters.front()->OnRemoteCrash(aReport);
        this->filters.back()->OnRemoteCrash(aReport);
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
      PoisonRequestFilter& filter = *this->filters[this->random() % this->filters.size()];
      if (filter.IsPoisoned(kRequest)) {
        continue;
      }
      lateSends += thirdCrashAt && now > *thirdCrashAt + aBound ? 1 : 0;
      ++crashes;
      filter.OnCrash({ kRequest, static_cast<std::uint64_t>(crashes), this->random() % 4, 0, 0 });
      thirdCrashAt = crashes == 3 ? now : thirdCrashAt;
    }
    return lateSends;
  }

private:
  /// Sends the verdicts of an owner of the key to all daemons; some are lost.
  void SendVerdicts()
  {
    std::bernoulli_distribution isLost(this->lossProbability);
    const auto verdicts = this->filters.front()->Verdicts();
    for (auto& filter : this->filters) {
      if (!isLost(this->random)) {
        filter->OnVerdicts(verdicts);
      }
    }
  }

  VirtualClock clock;
  Milliseconds updateInterval;
  double lossProbability;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<PoisonRequestFilter>> filters;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonRequestFilterTests, Fixture)

/// A request that crashes each endpoint is received by random daemons. It is poisoned after three crashes; once
/// connected daemons must have received each other's verdicts, at most three more sends are allowed.
BOOST_DATA_TEST_CASE(AtMostThreeSendsAfterTheUpdateDelay,
                     boost::unit_test::data::make({ 2, 8, 40, 300, 600 }) *
                       boost::unit_test::data::make({ 30, 300, 1900 }) *
                       boost::unit_test::data::make({ 0.0, 0.3 }),
                     daemons, requestInterval, lossProbability)
{
  // At most three rounds of updates: normally a quarter of a second each, longer under load (here up to one second)
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
  BOOST_TEST(this->filter.IsSuspect(kRequest));
  BOOST_TEST(!this->filter.IsPoisoned(kRequest));
  this->clock.Advance(Seconds(2));
  this->Crash(3, 1);
  BOOST_TEST(this->filter.IsPoisoned(kRequest));
  BOOST_TEST(this->filter.PoisonedCount() == 1);
}

BOOST_AUTO_TEST_CASE(LossOfAFailureDomainCountsAsOneCrash)
{
  for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
    this->Crash(endpoint, 1);
    this->clock.Advance(Milliseconds(2));
  }
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(CrashesInOneDomainCountSeparatelyIfSentAfterEachLoss)
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, 1, Milliseconds(10));
    this->clock.Advance(Milliseconds(30));
  }
  BOOST_TEST(this->filter.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(RepeatedReportsOfOneEndpointCountOnce)
{
  for (int time = 0; time < 5; ++time) {
    this->Crash(1, 1, Milliseconds(0));
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
}

/// Guards against poisoning streams that ran beside a request that crashes endpoints: before any stream had completed,
/// three endpoints crashed because of another request, each with some of the same streams, and the next sends of these
/// streams were refused.
BOOST_AUTO_TEST_CASE(CrashAfterPartOfTheAnswerCountsHalf)
{
  for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
    BOOST_TEST(!this->filter.IsPoisoned(kRequest));
    this->filter.OnCrash({ kRequest, endpoint, endpoint, 0, 50, true });
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(this->filter.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(RequestThatCompletedRecentlyIsNotBlamed)
{
  for (std::uint64_t endpoint = 1; endpoint <= 10; ++endpoint) {
    this->filter.OnRequestCompleted(kRequest);
    this->clock.Advance(Seconds(3));
    this->Crash(endpoint, endpoint);
  }
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(CompletionOnAnotherDaemonClearsTheRequest)
{
  PoisonRequestFilter other({}, this->clock);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  other.OnRequestCompleted(kRequest);
  // The daemon that observed the completion answers the verdict with the status Cleared
  other.OnVerdicts(this->filter.Verdicts());
  BOOST_TEST(!other.IsPoisoned(kRequest));
  this->filter.OnVerdicts(other.Verdicts());
  BOOST_TEST(!this->filter.IsPoisoned(kRequest));
  // Earlier crashes are not counted any more
  this->clock.Advance(Seconds(20));
  this->Crash(4, 4);
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(OneCrashAfterExpiryPoisonsTheRequestAgain)
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  this->clock.Advance(Seconds(601));
  BOOST_TEST(!this->filter.IsPoisoned(kRequest));
  this->Crash(4, 4);
  BOOST_TEST(this->filter.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(VerdictsExchangedBetweenDaemonsExpire)
{
  PoisonRequestFilter other({}, this->clock);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  for (int round = 0; round < 700; ++round) {
    other.OnVerdicts(this->filter.Verdicts());
    this->clock.Advance(Seconds(1));
    this->filter.OnVerdicts(other.Verdicts());
  }
  BOOST_TEST(!this->filter.IsPoisoned(kRequest));
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
    this->filter.OnRemoteCrash({ request, request, 9, 0, 0 });
  }
  this->Crash(3, 3);
  BOOST_TEST(this->filter.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(NumberOfSentVerdictsIsBounded)
{
  for (std::uint64_t request = 1000; request < 1500; ++request) {
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
      this->filter.OnRemoteCrash({ request, endpoint, endpoint, 0, 0 });
    }
  }
  BOOST_TEST(this->filter.PoisonedCount() == 500);
  BOOST_TEST(this->filter.Verdicts().size() == PoisonFilterSettings{}.maximumVerdicts);
}

BOOST_AUTO_TEST_CASE(ImplausibleVerdictsAndReportsAreIgnored)
{
  const std::vector<PoisonVerdict> verdicts{ { kRequest, static_cast<PoisonStatus>(9), 5000 } };
  this->filter.OnVerdicts(verdicts);
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
  // Age beyond any retention
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->filter.OnRemoteCrash(
      { kRequest, endpoint, endpoint, std::numeric_limits<std::int64_t>::max(), 0 });
  }
  BOOST_TEST(!this->filter.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_SUITE_END()
