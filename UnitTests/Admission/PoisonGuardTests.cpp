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
  /// An endpoint is lost with the request, which was sent there some time before.
  void Crash(std::uint64_t aEndpoint, std::uint64_t aDomain,
             Milliseconds aSentBefore = Milliseconds(50))
  {
    this->guard.OnCrash({ kRequest, aEndpoint, aDomain, 0, aSentBefore.count() });
  }

  VirtualClock clock;
  PoisonGuard guard{ {}, clock };
};

/// Daemons whose news of requests take a time, and get lost.
class Fleet
{
public:
  /// A request that crashes each endpoint comes to daemons by chance.
  Fleet(int aDaemons, Milliseconds aNews, double aLost, std::uint64_t aSeed)
    : news(aNews)
    , lost(aLost)
    , random(aSeed)
  {
    for (int index = 0; index < aDaemons; ++index) {
      this->guards.push_back(std::make_unique<PoisonGuard>(PoisonSettings{}, this->clock));
    }
    // Two daemons keep the request's key
    for (auto& guard : this->guards) {
      guard->OnReport([this](const CrashReport& aReport) {
        this->guards.front()->OnToldCrash(aReport);
        this->guards.back()->OnToldCrash(aReport);
      });
    }
  }

  /// Plays a minute. @return sends later than the bound after the third crash
  int Play(Milliseconds aBetween, Milliseconds aBound)
  {
    const TimePoint begin = this->clock.Now();
    TimePoint nextNews = begin + this->news;
    std::optional<TimePoint> third;
    int crashes = 0;
    int late = 0;
    for (TimePoint now = begin; now < begin + Seconds(60); now += aBetween) {
      this->clock.Advance(now - this->clock.Now());
      if (now >= nextNews) {
        this->Spread();
        nextNews += this->news;
      }
      PoisonGuard& guard = *this->guards[this->random() % this->guards.size()];
      if (guard.IsPoisoned(kRequest)) {
        continue;
      }
      late += third && now > *third + aBound ? 1 : 0;
      ++crashes;
      guard.OnCrash({ kRequest, static_cast<std::uint64_t>(crashes), this->random() % 4, 0, 0 });
      third = crashes == 3 ? now : third;
    }
    return late;
  }

private:
  /// One hop of news: from the keepers to all others, some lost.
  void Spread()
  {
    std::bernoulli_distribution isLost(this->lost);
    const auto notes = this->guards.front()->Notes();
    for (auto& guard : this->guards) {
      if (!isLost(this->random)) {
        guard->OnNotes(notes);
      }
    }
  }

  VirtualClock clock;
  Milliseconds news;
  double lost;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<PoisonGuard>> guards;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonGuardTests, Fixture)

/// Load pattern: a request that crashes each endpoint comes to daemons by chance. Grounds: three crashes convict it, and
/// from the time on by which daemons in touch have each other's news at most three more sends are borne.
BOOST_DATA_TEST_CASE(FewSendsPassOnceNewsHaveHadTheirTime,
                     boost::unit_test::data::make({ 2, 8, 40, 300, 600 }) *
                       boost::unit_test::data::make({ 30, 300, 1900 }) *
                       boost::unit_test::data::make({ 0.0, 0.3 }),
                     daemons, between, lost)
{
  // Three rounds of news at the most: a quarter of a second each, two on a slow day
  for (const Milliseconds news : { Milliseconds(250), Milliseconds(1000) }) {
    Fleet fleet(daemons, news, lost, static_cast<std::uint64_t>(daemons + between));
    // A lost round is made up for by the next
    const Milliseconds bound = lost > 0 ? 5 * news : 3 * news;
    BOOST_TEST(fleet.Play(Milliseconds(between), std::max(bound, Milliseconds(3000))) <= 3);
  }
}

BOOST_AUTO_TEST_CASE(ThreeCrashesConvict)
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

BOOST_AUTO_TEST_CASE(AFailureDomainThatGoesConvictsNoneOfItsRequests)
{
  for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
    this->Crash(endpoint, 1);
    this->clock.Advance(Milliseconds(2));
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(SentAfterAnEndItIsTriedAnew)
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, 1, Milliseconds(10));
    this->clock.Advance(Milliseconds(30));
  }
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(OneEndpointsEndCountsOnceHoweverOftenItIsSeen)
{
  for (int time = 0; time < 5; ++time) {
    this->Crash(1, 1, Milliseconds(0));
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

/// Seen: before any stream had come to its end, three endpoints died of another request, each with some of the same
/// streams on it, and those that came next were refused.
BOOST_AUTO_TEST_CASE(ACrashInMidAnswerCountsHalf)
{
  for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
    BOOST_TEST(!this->guard.IsPoisoned(kRequest));
    this->guard.OnCrash({ kRequest, endpoint, endpoint, 0, 50, true });
    this->clock.Advance(Seconds(2));
  }
  BOOST_TEST(this->guard.IsPoisoned(kRequest));
}

BOOST_AUTO_TEST_CASE(WhatRanWholeIsNotBlamed)
{
  for (std::uint64_t endpoint = 1; endpoint <= 10; ++endpoint) {
    this->guard.OnWhole(kRequest);
    this->clock.Advance(Seconds(3));
    this->Crash(endpoint, endpoint);
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(AWholeRunElsewhereClears)
{
  PoisonGuard other({}, this->clock);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->Crash(endpoint, endpoint);
    this->clock.Advance(Seconds(1));
  }
  other.OnWhole(kRequest);
  // What is told to the one that saw it run is told back as cleared
  other.OnNotes(this->guard.Notes());
  BOOST_TEST(!other.IsPoisoned(kRequest));
  this->guard.OnNotes(other.Notes());
  BOOST_TEST(!this->guard.IsPoisoned(kRequest));
  // Nor are the crashes from before held against it
  this->clock.Advance(Seconds(20));
  this->Crash(4, 4);
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_CASE(AfterAWhileItIsTriedAgainAndOneCrashIsEnough)
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

BOOST_AUTO_TEST_CASE(NotesDoNotOutliveWhatTheyTell)
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

/// A caller who makes up requests must not push the one out that crashes endpoints.
BOOST_AUTO_TEST_CASE(ManyCrashedRequestsPushNoConvictedOneOut)
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

BOOST_AUTO_TEST_CASE(ManyPoisonedRequestsAreToldWithinABound)
{
  for (std::uint64_t request = 1000; request < 1500; ++request) {
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
      this->guard.OnToldCrash({ request, endpoint, endpoint, 0, 0 });
    }
  }
  BOOST_TEST(this->guard.Poisoned() == 500);
  BOOST_TEST(this->guard.Notes().size() == PoisonSettings{}.maximumNotes);
}

BOOST_AUTO_TEST_CASE(ImplausibleNotesAndReportsChangeNothing)
{
  const std::vector<PoisonNote> notes{ { kRequest, static_cast<PoisonStanding>(9), 5000 } };
  this->guard.OnNotes(notes);
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
  // Of a crash long ago, or that is still to come
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    this->guard.OnToldCrash(
      { kRequest, endpoint, endpoint, std::numeric_limits<std::int64_t>::max(), 0 });
  }
  BOOST_TEST(!this->guard.IsSuspect(kRequest));
}

BOOST_AUTO_TEST_SUITE_END()
