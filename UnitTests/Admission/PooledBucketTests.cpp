#include "Lagoonward/Admission/PooledBucket.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lagoonward;

namespace {

constexpr PooledLimit kLimit{ 1000, 1000, 500 };
constexpr Milliseconds kInterval{ 250 };

/// Some daemons that share one client's limit and tell each other their totals at an interval.
struct Deployment
{
  explicit Deployment(std::size_t aDaemons)
    : buckets(aDaemons, PooledBucket({}, clock.Now()))
  {
    for (PooledBucket& bucket : this->buckets) {
      bucket.Configure(kLimit, this->clock.Now());
    }
  }

  /// One interval passes.
  /// @param aConnected  daemons that hear each other, from the first on; the others hear nobody
  void Exchange(std::size_t aConnected)
  {
    this->clock.Advance(kInterval);
    const TimePoint now = this->clock.Now();
    for (std::size_t from = 0; from < aConnected; ++from) {
      for (std::size_t to = 0; to < aConnected; ++to) {
        if (from != to) {
          this->buckets[to].OnPeer(from, this->buckets[from].AdmittedTotal(), now);
        }
      }
    }
    for (PooledBucket& bucket : this->buckets) {
      bucket.OnInterval(static_cast<int>(this->buckets.size()), now);
    }
  }

  /// Lets every daemon admit requests of one size until it refuses. @return tokens admitted
  double Drain(double aTokens)
  {
    double admitted = 0;
    for (PooledBucket& bucket : this->buckets) {
      while (bucket.Take(aTokens, this->clock.Now()) == 0) {
        admitted += aTokens;
      }
    }
    return admitted;
  }

  VirtualClock clock;
  std::vector<PooledBucket> buckets;
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

BOOST_AUTO_TEST_CASE(PaysOffWhatWasTakenTooMuch)
{
  Deployment deployment(7);
  Settle(deployment);
  deployment.Drain(100);
  deployment.Exchange(7);
  BOOST_TEST(deployment.buckets[0].Level() < 0);
  BOOST_TEST(deployment.buckets[0].Take(10, deployment.clock.Now()) > 0);
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
  deployment.buckets[0].Configure({ 10, 20, 0 }, deployment.clock.Now());
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
    for (PooledBucket& bucket : deployment.buckets) {
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

BOOST_AUTO_TEST_SUITE_END()
