#include "Lagoonward/Admission/PooledBucket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/SharedLimit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr PooledLimit kLimit{ 1000, 1000, 500 };
constexpr Milliseconds kInterval{ 250 };

/// One of a deployment's daemons, as its own clients see it.
struct Daemon
{
  [[nodiscard]] double Take(double aTokens, TimePoint aNow)
  {
    return this->limit->Take(this->index, aTokens, aNow);
  }
  [[nodiscard]] double Level() const { return this->limit->buckets[this->index].Level(); }

  SharedLimit* limit;
  std::size_t index;
};

/// Some daemons that share one client's limit and tell each other their totals at an interval.
struct Deployment
{
  explicit Deployment(std::size_t aDaemons)
    : limit(aDaemons, kLimit, clock.Now())
    , connected(aDaemons)
  {
    for (std::size_t index = 0; index < aDaemons; ++index) {
      this->buckets.push_back({ &this->limit, index });
    }
    this->limit.reaches = [this](std::size_t aFrom, std::size_t aTo) {
      return aFrom < this->connected && aTo < this->connected;
    };
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// One interval passes.
  /// @param aConnected  daemons that hear each other, from the first on; the others hear nobody
  void Exchange(std::size_t aConnected)
  {
    this->clock.Advance(kInterval);
    this->connected = aConnected;
    const TimePoint now = this->clock.Now();
    std::vector<PooledBucket>& all = this->limit.buckets;
    for (std::size_t from = 0; from < aConnected; ++from) {
      for (std::size_t to = 0; to < aConnected; ++to) {
        if (from != to) {
          all[to].OnPeer(from, all[from].AdmittedTotal(), now);
        }
      }
    }
    for (PooledBucket& bucket : all) {
      bucket.OnInterval(static_cast<int>(all.size()), now);
    }
  }

  /// Lets every daemon admit requests of one size until it refuses. @return tokens admitted
  double Drain(double aTokens)
  {
    double admitted = 0;
    for (Daemon& daemon : this->buckets) {
      while (daemon.Take(aTokens, this->clock.Now()) == 0) {
        admitted += aTokens;
      }
    }
    return admitted;
  }

  VirtualClock clock;
  SharedLimit limit;
  std::size_t connected; ///< Daemons that reach each other, from the first on.
  std::vector<Daemon> buckets;
};

void
Settle(Deployment& aDeployment)
{
  for (int interval = 0; interval < 20; ++interval) {
    aDeployment.Exchange(aDeployment.buckets.size());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PooledBucketTests)

BOOST_AUTO_TEST_CASE(LetsOneDaemonTakeALargeRequestWhileTheOthersAreIdle)
{
  Deployment deployment(7);
  Settle(deployment);
  // An equal part of the bucket would be 143 tokens
  BOOST_TEST(deployment.buckets[0].Take(450, deployment.clock.Now()) == 0);
  deployment.Exchange(7);
  BOOST_TEST(deployment.buckets[3].Level() < 1000);
}

BOOST_AUTO_TEST_CASE(HoldsTheLimitOverAllDaemonsUnderSteadyPressure)
{
  Deployment deployment(7);
  Settle(deployment);
  double admitted = 0;
  constexpr int kIntervals = 32;
  for (int interval = 0; interval < kIntervals; ++interval) {
    admitted += deployment.Drain(20);
    deployment.Exchange(7);
  }
  // Rate over eight seconds, one bucket, and half of what is left for each of seven at the very first
  const double allowed = 8 * kLimit.rate + kLimit.capacity + 2.5 * kLimit.capacity;
  BOOST_TEST(admitted <= allowed);
  BOOST_TEST(admitted >= 8 * kLimit.rate * 0.8);
}

/// However the first moment of pressure falls, there is no excess that would have to be paid off afterwards.
BOOST_AUTO_TEST_CASE(NothingIsTakenTooMuchFromAFullBucket)
{
  Deployment deployment(7);
  Settle(deployment);
  BOOST_TEST(deployment.Drain(100) <= kLimit.capacity + kLimit.slack);
  deployment.Exchange(7);
  BOOST_TEST(deployment.buckets[0].Level() >= -kLimit.slack);
  BOOST_TEST(deployment.buckets[0].Take(450, deployment.clock.Now()) > 0);
}

BOOST_AUTO_TEST_CASE(DaemonsCutOffKeepToEqualParts)
{
  Deployment deployment(6);
  Settle(deployment);
  deployment.Drain(20);
  deployment.Exchange(6);
  // Nobody hears anybody from now on: what all use together stays near the rate
  for (int interval = 0; interval < 8; ++interval) {
    deployment.Drain(5);
    deployment.Exchange(0);
  }
  double admitted = 0;
  for (int interval = 0; interval < 32; ++interval) {
    admitted += deployment.Drain(5);
    deployment.Exchange(0);
  }
  BOOST_TEST(admitted <= 8 * kLimit.rate + kLimit.capacity + kLimit.slack);
  BOOST_TEST(admitted >= 8 * kLimit.rate * 0.5);
}

BOOST_AUTO_TEST_CASE(ALowerLimitTakesEffectAtOnce)
{
  Deployment deployment(1);
  Settle(deployment);
  deployment.limit.buckets[0].Configure({ 10, 20, 0 }, deployment.clock.Now());
  BOOST_TEST(deployment.buckets[0].Level() <= 20);
  BOOST_TEST(deployment.buckets[0].Take(100, deployment.clock.Now()) > 0);
}

BOOST_AUTO_TEST_CASE(ARestartedPeerCountsFromZero)
{
  VirtualClock clock;
  PooledBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  bucket.OnPeer(1, 5000, clock.Now());
  clock.Advance(kInterval);
  const double before = bucket.Level();
  bucket.OnPeer(1, 100, clock.Now());
  BOOST_TEST(bucket.Level() < before + kLimit.rate);
  BOOST_TEST(bucket.Level() > -1000);
}

/// Load pattern: a client far above its limit, while most daemons are killed at once and start anew before they
/// have heard of anybody. Grounds: of 84 daemons 50 began anew and took 7.3 million tokens of a client's limit
/// in a second where rate and bucket allowed 1.5 million each.
BOOST_AUTO_TEST_CASE(DaemonsThatStartTogetherTakeNoMoreThanTheirPart)
{
  constexpr int kDaemons = 84;
  constexpr std::size_t kFresh = 50;
  constexpr int kIntervals = 4;
  Deployment deployment(kFresh);
  double admitted = 0;
  for (int interval = 0; interval < kIntervals; ++interval) {
    for (PooledBucket& bucket : deployment.limit.buckets) {
      bucket.OnInterval(kDaemons, deployment.clock.Now());
    }
    admitted += deployment.Drain(1);
    deployment.clock.Advance(kInterval);
  }
  const double part = static_cast<double>(kFresh) / kDaemons;
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= part * (0.25 * kLimit.capacity + kLimit.rate * seconds + kLimit.slack));
}

BOOST_AUTO_TEST_CASE(ADaemonThatDoesNotKnowHowManyShareTakesNothingYet)
{
  VirtualClock clock;
  PooledBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  BOOST_TEST(bucket.Take(1, clock.Now()) > 0);
  // Told, it takes its part
  bucket.OnInterval(4, clock.Now());
  BOOST_TEST(bucket.Take(1, clock.Now()) == 0);
}

BOOST_AUTO_TEST_CASE(ADaemonThatIsNeverToldHowManyShareCountsItselfAlone)
{
  VirtualClock clock;
  PooledBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  clock.Advance(PooledBucketSettings{}.countPatience);
  BOOST_TEST(bucket.Take(100, clock.Now()) == 0);
}

/// A client far above its limit asks every daemon without end, from a full bucket. It was given 15,000 tokens at each of
/// them, 303 times its limit at 600 daemons: each might take half of what was left before it heard of the others. The probe
/// admitted the same for requests of any size, and in proportion to the daemons and to the age of the news.
struct Pressure
{
  static constexpr PooledLimit kLimit{ 2000, 30'000, 1500 };
  static constexpr Milliseconds kNewsInterval{ 400 };
  static constexpr double kTolerance = 1.1;

  /// @param aLateness  age of what daemons are told, in intervals
  Pressure(int aDaemons, std::size_t aLateness)
    : daemons(aDaemons)
    , lateness(aLateness)
    , limit(static_cast<std::size_t>(aDaemons), kLimit, clock.Now())
  {
    // Told of the others and asked for nothing, all fill
    for (int interval = 0; interval < 100; ++interval) {
      this->Exchange();
    }
    this->begunAt = this->clock.Now();
  }

  /// One sum speaks for all other daemons, as it was some intervals ago.
  void Exchange()
  {
    this->clock.Advance(kNewsInterval);
    const TimePoint now = this->clock.Now();
    std::vector<double> totals;
    double sum = 0;
    for (const PooledBucket& bucket : this->limit.buckets) {
      totals.push_back(bucket.AdmittedTotal());
      sum += totals.back();
    }
    for (double& total : totals) {
      total = sum - total;
    }
    this->told.push_back(std::move(totals));
    if (this->told.size() > this->lateness) {
      this->told.pop_front();
    }
    for (std::size_t index = 0; index < this->limit.buckets.size(); ++index) {
      this->limit.buckets[index].OnInterval(this->daemons, now);
      this->limit.buckets[index].OnPeer(1, this->told.front()[index], now, this->daemons - 1);
    }
  }

  /// Asks each daemon until it refuses. @return whether the bound has held at each moment
  bool AskAll(double aTokens)
  {
    for (std::size_t index = 0; index < this->limit.buckets.size(); ++index) {
      while (this->limit.Take(index, aTokens, this->clock.Now()) == 0) {
        this->admitted += aTokens;
      }
    }
    const double seconds = ToSeconds(this->clock.Now() - this->begunAt);
    return this->admitted <= kTolerance * (kLimit.capacity + kLimit.rate * seconds) + kLimit.slack;
  }

  VirtualClock clock;
  int daemons;
  std::size_t lateness;
  SharedLimit limit;
  std::deque<std::vector<double>> told; ///< Totals of all others by daemon, the oldest first.
  TimePoint begunAt;
  double admitted = 0;
};

BOOST_DATA_TEST_CASE(AClientThatAsksEveryDaemonFromAFullBucketKeepsToItsLimit,
                     boost::unit_test::data::make({ 2, 7, 40, 150, 295, 600 }) *
                       boost::unit_test::data::make({ 1, 2, 3 }) *
                       boost::unit_test::data::make({ 10, 120, 700, 4000 }),
                     daemons, lateness, tokens)
{
  Pressure pressure(daemons, static_cast<std::size_t>(lateness));
  constexpr int kIntervals = 40;
  bool isKept = true;
  for (int interval = 0; interval < kIntervals; ++interval) {
    isKept = pressure.AskAll(tokens) && isKept;
    pressure.Exchange();
  }
  BOOST_TEST(isKept);
  // It gets what it is owed, whether a request is smaller or larger than a daemon's equal part
  const double seconds = ToSeconds(Pressure::kNewsInterval) * kIntervals;
  BOOST_TEST(pressure.admitted >=
             Pressure::kLimit.capacity * 0.7 + Pressure::kLimit.rate * seconds * 0.7);
}

/// The same client turns to one daemon alone, and is owed no less for it.
BOOST_DATA_TEST_CASE(AClientThatAsksOneDaemonGetsItsWholeLimit,
                     boost::unit_test::data::make({ 7, 295 }) *
                       boost::unit_test::data::make({ 10, 700, 4000 }),
                     daemons, tokens)
{
  Pressure pressure(daemons, 3);
  constexpr int kIntervals = 400;
  for (int interval = 0; interval < kIntervals; ++interval) {
    while (pressure.limit.Take(0, tokens, pressure.clock.Now()) == 0) {
      pressure.admitted += tokens;
    }
    pressure.Exchange();
  }
  const double seconds = ToSeconds(Pressure::kNewsInterval) * kIntervals;
  BOOST_TEST(pressure.admitted >= Pressure::kLimit.rate * seconds * 0.9);
  BOOST_TEST(pressure.admitted <=
             Pressure::kTolerance * (Pressure::kLimit.capacity + Pressure::kLimit.rate * seconds) +
               Pressure::kLimit.slack);
}

BOOST_DATA_TEST_CASE(ALoneLargeRequestIsTakenAtWhicheverDaemonItComesTo,
                     boost::unit_test::data::make({ 0, 3, 149, 292, 293, 294 }), daemon)
{
  Pressure pressure(295, 3);
  const double large = Pressure::kLimit.capacity * 0.7;
  BOOST_TEST(pressure.limit.Take(static_cast<std::size_t>(daemon), large, pressure.clock.Now()) ==
             0);
}

/// A configuration that is about something else comes between a loan and the request that it is for.
BOOST_AUTO_TEST_CASE(ALimitThatIsSetAgainTakesNoLoanBack)
{
  Pressure pressure(40, 1);
  PooledBucket& bucket = pressure.limit.buckets[0];
  bucket.OnLoan({ 4000, 0 }, 4000, pressure.clock.Now());
  bucket.Configure(Pressure::kLimit, pressure.clock.Now());
  bucket.OnInterval(41, pressure.clock.Now());
  BOOST_TEST(bucket.Take(4000, pressure.clock.Now()) == 0);
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutEndKeepsADaemonAwayForABoundedTime)
{
  Pressure pressure(40, 1);
  PooledBucket& bucket = pressure.limit.buckets[0];
  bucket.OnLoan({ 0, 1e300 }, 700, pressure.clock.Now());
  BOOST_TEST(!bucket.WantedLoan(700, pressure.clock.Now()).has_value());
  pressure.clock.Advance(PooledBucketSettings{}.longestRefusal);
  BOOST_TEST(bucket.WantedLoan(700, pressure.clock.Now()).has_value());
}

/// The daemon that keeps the primary reserve is gone: the backup lends at once, and goes on as the primary one.
BOOST_AUTO_TEST_CASE(ABackupLendsWhereThePrimaryReserveIsSilent)
{
  constexpr std::size_t kDaemons = 40;
  Pressure pressure(kDaemons, 3);
  const std::size_t primary = pressure.limit.reserves[0];
  const std::size_t backup = pressure.limit.reserves[1];
  pressure.limit.reaches = [primary](std::size_t, std::size_t aTo) { return aTo != primary; };
  double admitted = 0;
  while (pressure.limit.Take(0, 700, pressure.clock.Now()) == 0) {
    admitted += 700;
  }
  BOOST_TEST(admitted >= Pressure::kLimit.capacity * 0.2 - 700);
  pressure.limit.buckets[backup].SetRole(ReserveRole::Primary, pressure.clock.Now());
  for (int interval = 0; interval < 100; ++interval) {
    pressure.Exchange();
  }
  BOOST_TEST(pressure.limit.Take(0, Pressure::kLimit.capacity * 0.6, pressure.clock.Now()) == 0);
}

/// Pressure all through while the role of the primary reserve goes from daemon to daemon.
BOOST_AUTO_TEST_CASE(AReserveThatChangesHandsIsNotSpentTwice)
{
  constexpr int kDaemons = 40;
  Pressure pressure(kDaemons, 3);
  bool isKept = true;
  for (std::size_t turn = 0; turn < 40; ++turn) {
    isKept = pressure.AskAll(120) && isKept;
    if (turn % 5 == 0) {
      const TimePoint now = pressure.clock.Now();
      std::vector<std::size_t>& reserves = pressure.limit.reserves;
      const std::size_t next = (reserves[1] + kDaemons - 1) % kDaemons;
      pressure.limit.buckets[reserves[0]].SetRole(ReserveRole::None, now);
      pressure.limit.buckets[reserves[1]].SetRole(ReserveRole::Primary, now);
      pressure.limit.buckets[next].SetRole(ReserveRole::Backup, now);
      reserves = { reserves[1], next };
    }
    pressure.Exchange();
  }
  BOOST_TEST(isKept);
}

BOOST_AUTO_TEST_SUITE_END()
