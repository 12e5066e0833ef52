#include "Lagoonward/Admission/SharedTokenBucket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/SharedLimit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <vector>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr PooledLimit kLimit{ 1000, 1000, 500 };
constexpr Milliseconds kInterval{ 250 };

/// One daemon of a deployment, accessed as by its own clients.
struct Daemon
{
  [[nodiscard]] double Take(double aTokens, TimePoint aNow)
  {
    return this->limit->TryConsume(this->index, aTokens, aNow);
  }
  [[nodiscard]] double Level() const { return this->limit->buckets[this->index].Level(); }

  SharedLimit* limit;
  std::size_t index;
};

/// Daemons that share one client's limit and send each other their totals at an interval.
struct Deployment
{
  explicit Deployment(std::size_t aDaemons)
    : limit(aDaemons, kLimit, clock.Now())
    , connectedDaemons(aDaemons)
  {
    for (std::size_t index = 0; index < aDaemons; ++index) {
      this->buckets.push_back({ &this->limit, index });
    }
    this->limit.canReach = [this](std::size_t aFrom, std::size_t aTo) {
      return aFrom < this->connectedDaemons && aTo < this->connectedDaemons;
    };
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Advances by one interval.
  /// @param aConnectedDaemons  number of daemons that reach each other, starting with the first; the others are
  ///                           isolated
  void Exchange(std::size_t aConnectedDaemons)
  {
    this->clock.Advance(kInterval);
    this->connectedDaemons = aConnectedDaemons;
    const TimePoint now = this->clock.Now();
    std::vector<SharedTokenBucket>& all = this->limit.buckets;
    for (std::size_t from = 0; from < aConnectedDaemons; ++from) {
      for (std::size_t to = 0; to < aConnectedDaemons; ++to) {
        if (from != to) {
          all[to].OnPeerTotal(from, all[from].AdmittedTotal(), now);
        }
      }
    }
    for (SharedTokenBucket& bucket : all) {
      bucket.OnSendInterval(static_cast<int>(all.size()), now);
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
  std::size_t
    connectedDaemons; ///< Number of daemons that reach each other, starting with the first.
  std::vector<Daemon> buckets;
};

void
ExchangeUntilSettled(Deployment& aDeployment)
{
  for (int interval = 0; interval < 20; ++interval) {
    aDeployment.Exchange(aDeployment.buckets.size());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharedTokenBucketTests)

BOOST_AUTO_TEST_CASE(OneDaemonAdmitsALargeRequestWhileTheOthersAreIdle)
{
  Deployment deployment(7);
  ExchangeUntilSettled(deployment);
  // An equal share of the bucket would be 143 tokens
  BOOST_TEST(deployment.buckets[0].Take(450, deployment.clock.Now()) == 0);
  deployment.Exchange(7);
  BOOST_TEST(deployment.buckets[3].Level() < 1000);
}

BOOST_AUTO_TEST_CASE(LimitHoldsOverAllDaemonsUnderSteadyLoad)
{
  Deployment deployment(7);
  ExchangeUntilSettled(deployment);
  double admitted = 0;
  constexpr int kIntervals = 32;
  for (int interval = 0; interval < kIntervals; ++interval) {
    admitted += deployment.Drain(20);
    deployment.Exchange(7);
  }
  // Rate over eight seconds, one bucket, and at the start half of the remaining tokens for each of seven daemons
  const double allowed = 8 * kLimit.rate + kLimit.capacity + 2.5 * kLimit.capacity;
  BOOST_TEST(admitted <= allowed);
  BOOST_TEST(admitted >= 8 * kLimit.rate * 0.8);
}

/// However load begins on full buckets, no excess may be admitted that refusals would have to make up for later.
BOOST_AUTO_TEST_CASE(FullBucketIsNotOverdrawn)
{
  Deployment deployment(7);
  ExchangeUntilSettled(deployment);
  BOOST_TEST(deployment.Drain(100) <= kLimit.capacity + kLimit.slack);
  deployment.Exchange(7);
  BOOST_TEST(deployment.buckets[0].Level() >= -kLimit.slack);
  BOOST_TEST(deployment.buckets[0].Take(450, deployment.clock.Now()) > 0);
}

BOOST_AUTO_TEST_CASE(PartitionedDaemonsStayWithinEqualShares)
{
  Deployment deployment(6);
  ExchangeUntilSettled(deployment);
  deployment.Drain(20);
  deployment.Exchange(6);
  // From now on no daemon reaches another: all together must stay near the rate
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

BOOST_AUTO_TEST_CASE(LowerLimitTakesEffectImmediately)
{
  Deployment deployment(1);
  ExchangeUntilSettled(deployment);
  deployment.limit.buckets[0].Configure({ 10, 20, 0 }, deployment.clock.Now());
  BOOST_TEST(deployment.buckets[0].Level() <= 20);
  BOOST_TEST(deployment.buckets[0].Take(100, deployment.clock.Now()) > 0);
}

BOOST_AUTO_TEST_CASE(TotalOfARestartedPeerCountsFromZero)
{
  VirtualClock clock;
  SharedTokenBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  bucket.OnPeerTotal(1, 5000, clock.Now());
  clock.Advance(kInterval);
  const double before = bucket.Level();
  bucket.OnPeerTotal(1, 100, clock.Now());
  BOOST_TEST(bucket.Level() < before + kLimit.rate);
  BOOST_TEST(bucket.Level() > -1000);
}

/// A client far above its limit, while most daemons are killed at once and restart before they have received messages
/// from others. Guards against restarted daemons that exceed their shares: 50 of 84 daemons restarted and admitted 7.3
/// million tokens of a client's limit in a second in which rate and bucket allowed 1.5 million each.
BOOST_AUTO_TEST_CASE(DaemonsThatStartTogetherStayWithinTheirShare)
{
  constexpr int kDaemons = 84;
  constexpr std::size_t kRestarted = 50;
  constexpr int kIntervals = 4;
  Deployment deployment(kRestarted);
  double admitted = 0;
  for (int interval = 0; interval < kIntervals; ++interval) {
    for (SharedTokenBucket& bucket : deployment.limit.buckets) {
      bucket.OnSendInterval(kDaemons, deployment.clock.Now());
    }
    admitted += deployment.Drain(1);
    deployment.clock.Advance(kInterval);
  }
  const double share = static_cast<double>(kRestarted) / kDaemons;
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= share * (0.25 * kLimit.capacity + kLimit.rate * seconds + kLimit.slack));
}

BOOST_AUTO_TEST_CASE(NothingIsAdmittedBeforeTheDaemonCountIsKnown)
{
  VirtualClock clock;
  SharedTokenBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  BOOST_TEST(bucket.TryConsume(1, clock.Now()) > 0);
  // With the count it uses its share
  bucket.OnSendInterval(4, clock.Now());
  BOOST_TEST(bucket.TryConsume(1, clock.Now()) == 0);
}

BOOST_AUTO_TEST_CASE(DaemonCountsAsTheOnlyOneAfterTheDaemonCountTimeout)
{
  VirtualClock clock;
  SharedTokenBucket bucket({}, clock.Now());
  bucket.Configure(kLimit, clock.Now());
  clock.Advance(SharedTokenBucketSettings{}.daemonCountTimeout);
  BOOST_TEST(bucket.TryConsume(100, clock.Now()) == 0);
}

/// A client far above its limit sends requests to every daemon without pause, starting with a full bucket. Guards
/// against daemons that may each admit half of the remaining tokens before they receive the totals of the others: the
/// client got 15,000 tokens at each daemon, 303 times its limit at 600 daemons, for requests of any size, in proportion
/// to the number of daemons and to the delay of the totals.
struct FullLoad
{
  static constexpr PooledLimit kLimit{ 2000, 30'000, 1500 };
  static constexpr Milliseconds kSendInterval{ 400 };
  static constexpr double kTolerance = 1.1;

  /// @param aDelay  age of the totals that daemons receive, in intervals
  FullLoad(int aDaemons, std::size_t aDelay)
    : daemons(aDaemons)
    , delay(aDelay)
    , limit(static_cast<std::size_t>(aDaemons), kLimit, clock.Now())
  {
    // Without requests all buckets fill while the daemons receive each other's totals
    for (int interval = 0; interval < 100; ++interval) {
      this->Exchange();
    }
    this->startedAt = this->clock.Now();
  }

  /// Each daemon receives the sum of all other daemons' totals as of `delay` intervals ago.
  void Exchange()
  {
    this->clock.Advance(kSendInterval);
    const TimePoint now = this->clock.Now();
    std::vector<double> totals;
    double sum = 0;
    for (const SharedTokenBucket& bucket : this->limit.buckets) {
      totals.push_back(bucket.AdmittedTotal());
      sum += totals.back();
    }
    for (double& total : totals) {
      total = sum - total;
    }
    this->receivedTotals.push_back(std::move(totals));
    if (this->receivedTotals.size() > this->delay) {
      this->receivedTotals.pop_front();
    }
    for (std::size_t index = 0; index < this->limit.buckets.size(); ++index) {
      this->limit.buckets[index].OnSendInterval(this->daemons, now);
      this->limit.buckets[index].OnPeerTotal(1, this->receivedTotals.front()[index], now,
                                             this->daemons - 1);
    }
  }

  /// Sends requests to each daemon until it refuses. @return whether the tokens admitted so far are within the bound
  bool DrainAll(double aTokens)
  {
    for (std::size_t index = 0; index < this->limit.buckets.size(); ++index) {
      while (this->limit.TryConsume(index, aTokens, this->clock.Now()) == 0) {
        this->admitted += aTokens;
      }
    }
    const double seconds = ToSeconds(this->clock.Now() - this->startedAt);
    return this->admitted <= kTolerance * (kLimit.capacity + kLimit.rate * seconds) + kLimit.slack;
  }

  VirtualClock clock;
  int daemons;
  std::size_t delay;
  SharedLimit limit;
  std::deque<std::vector<double>>
    receivedTotals; ///< Totals of all others by daemon, the oldest first.
  TimePoint startedAt;
  double admitted = 0;
};

BOOST_DATA_TEST_CASE(LimitHoldsIfAClientLoadsEveryDaemonFromAFullBucket,
                     boost::unit_test::data::make({ 2, 7, 40, 150, 295, 600 }) *
                       boost::unit_test::data::make({ 1, 2, 3 }) *
                       boost::unit_test::data::make({ 10, 120, 700, 4000 }),
                     daemons, delay, tokens)
{
  FullLoad load(daemons, static_cast<std::size_t>(delay));
  constexpr int kIntervals = 40;
  bool isWithinLimit = true;
  for (int interval = 0; interval < kIntervals; ++interval) {
    isWithinLimit = load.DrainAll(tokens) && isWithinLimit;
    load.Exchange();
  }
  BOOST_TEST(isWithinLimit);
  // The client gets its limit, for requests smaller and larger than a daemon's equal share
  const double seconds = ToSeconds(FullLoad::kSendInterval) * kIntervals;
  BOOST_TEST(load.admitted >=
             FullLoad::kLimit.capacity * 0.7 + FullLoad::kLimit.rate * seconds * 0.7);
}

/// A client that sends all requests to one daemon must get the same limit.
BOOST_DATA_TEST_CASE(ClientThatUsesOneDaemonGetsItsFullLimit,
                     boost::unit_test::data::make({ 7, 295 }) *
                       boost::unit_test::data::make({ 10, 700, 4000 }),
                     daemons, tokens)
{
  FullLoad load(daemons, 3);
  constexpr int kIntervals = 400;
  for (int interval = 0; interval < kIntervals; ++interval) {
    while (load.limit.TryConsume(0, tokens, load.clock.Now()) == 0) {
      load.admitted += tokens;
    }
    load.Exchange();
  }
  const double seconds = ToSeconds(FullLoad::kSendInterval) * kIntervals;
  BOOST_TEST(load.admitted >= FullLoad::kLimit.rate * seconds * 0.9);
  BOOST_TEST(load.admitted <=
             FullLoad::kTolerance * (FullLoad::kLimit.capacity + FullLoad::kLimit.rate * seconds) +
               FullLoad::kLimit.slack);
}

BOOST_DATA_TEST_CASE(SingleLargeRequestIsAdmittedAtAnyDaemon,
                     boost::unit_test::data::make({ 0, 3, 149, 292, 293, 294 }), daemon)
{
  FullLoad load(295, 3);
  const double large = FullLoad::kLimit.capacity * 0.7;
  BOOST_TEST(load.limit.TryConsume(static_cast<std::size_t>(daemon), large, load.clock.Now()) == 0);
}

/// An unrelated change of configuration arrives between a grant of tokens and the request that they were granted for.
BOOST_AUTO_TEST_CASE(SettingTheSameLimitAgainKeepsGrantedTokens)
{
  FullLoad load(40, 1);
  SharedTokenBucket& bucket = load.limit.buckets[0];
  bucket.OnTokenGrant({ 4000, 0 }, 4000, load.clock.Now());
  bucket.Configure(FullLoad::kLimit, load.clock.Now());
  bucket.OnSendInterval(41, load.clock.Now());
  BOOST_TEST(bucket.TryConsume(4000, load.clock.Now()) == 0);
}

BOOST_AUTO_TEST_CASE(WaitAfterARefusalIsBounded)
{
  FullLoad load(40, 1);
  SharedTokenBucket& bucket = load.limit.buckets[0];
  bucket.OnTokenGrant({ 0, 1e300 }, 700, load.clock.Now());
  BOOST_TEST(!bucket.MakeTokenRequest(700, load.clock.Now()).has_value());
  load.clock.Advance(SharedTokenBucketSettings{}.maximumRefusal);
  BOOST_TEST(bucket.MakeTokenRequest(700, load.clock.Now()).has_value());
}

/// The owner of the primary reserve does not reply: the backup grants tokens immediately, and later becomes the
/// primary.
BOOST_AUTO_TEST_CASE(BackupGrantsTokensIfThePrimaryReserveDoesNotReply)
{
  constexpr std::size_t kDaemons = 40;
  FullLoad load(kDaemons, 3);
  const std::size_t primary = load.limit.reserveDaemons[0];
  const std::size_t backup = load.limit.reserveDaemons[1];
  load.limit.canReach = [primary](std::size_t, std::size_t aTo) { return aTo != primary; };
  double admitted = 0;
  while (load.limit.TryConsume(0, 700, load.clock.Now()) == 0) {
    admitted += 700;
  }
  BOOST_TEST(admitted >= FullLoad::kLimit.capacity * 0.2 - 700);
  load.limit.buckets[backup].SetReserveRole(ReserveRole::Primary, load.clock.Now());
  for (int interval = 0; interval < 100; ++interval) {
    load.Exchange();
  }
  BOOST_TEST(load.limit.TryConsume(0, FullLoad::kLimit.capacity * 0.6, load.clock.Now()) == 0);
}

/// Full load while the roles of the reserves move from daemon to daemon: the tokens of a reserve must not be used
/// twice.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileReserveRolesMoveBetweenDaemons)
{
  constexpr int kDaemons = 40;
  FullLoad load(kDaemons, 3);
  bool isWithinLimit = true;
  for (std::size_t round = 0; round < 40; ++round) {
    isWithinLimit = load.DrainAll(120) && isWithinLimit;
    if (round % 5 == 0) {
      const TimePoint now = load.clock.Now();
      std::vector<std::size_t>& reserves = load.limit.reserveDaemons;
      const std::size_t next = (reserves[1] + kDaemons - 1) % kDaemons;
      load.limit.buckets[reserves[0]].SetReserveRole(ReserveRole::None, now);
      load.limit.buckets[reserves[1]].SetReserveRole(ReserveRole::Primary, now);
      load.limit.buckets[next].SetReserveRole(ReserveRole::Backup, now);
      reserves = { reserves[1], next };
    }
    load.Exchange();
  }
  BOOST_TEST(isWithinLimit);
}

/// Load pattern: all daemons were killed, and a client that is at its limit continues its streams while it sends new requests
/// at many times its rate. Guards against streams that are refused although the client has had a part of their events.
BOOST_AUTO_TEST_CASE(ContinuedStreamsComeBeforeNewRequests)
{
  constexpr int kStreams = 20;
  constexpr double kTokens = 100;
  constexpr int kDaemons = 8;
  constexpr Milliseconds kStep{ 10 };
  constexpr int kStepsPerRetry = 10;
  Deployment deployment(kDaemons);
  deployment.Exchange(kDaemons);
  static_cast<void>(deployment.Drain(kTokens));

  std::vector<int> waiting(kStreams);
  std::iota(waiting.begin(), waiting.end(), 0);
  const TimePoint startedAt = deployment.clock.Now();
  double newTokens = 0;
  for (int steps = 0; !waiting.empty() && steps < 1000; ++steps) {
    const TimePoint now = deployment.clock.Now();
    // Streams are asked for one after the other, as their callers come back at different times
    std::erase_if(waiting, [&](int aStream) {
      const bool isDue = steps % kStepsPerRetry == aStream % kStepsPerRetry;
      const std::size_t daemon = static_cast<std::size_t>(aStream) % kDaemons;
      return isDue &&
             deployment.limit.TryConsume(daemon, kTokens, now, LimitTokenUse::Continuation) == 0;
    });
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      newTokens += deployment.limit.TryConsume(daemon, kTokens, now) == 0 ? kTokens : 0;
    }
    deployment.clock.Advance(kStep);
    if (steps % 25 == 0) {
      deployment.Exchange(kDaemons);
    }
  }
  // The limit's rate, less what daemons hold back, is enough for all of them within twice the time that they take of it
  const double seconds = ToSeconds(deployment.clock.Now() - startedAt);
  BOOST_TEST(waiting.empty());
  BOOST_TEST(seconds <= 2 * kStreams * kTokens / kLimit.rate);
  BOOST_TEST(newTokens <= 0.5 * kStreams * kTokens);

  // New requests get the whole rate again
  deployment.Exchange(kDaemons);
  deployment.Exchange(kDaemons);
  BOOST_TEST(deployment.Drain(kTokens) > 0);
}

/// Guards against a stream that no limit can ever admit and that keeps all new requests waiting.
BOOST_AUTO_TEST_CASE(ContinuationAboveTheLimitKeepsNoOthersWaiting)
{
  Deployment deployment(3);
  deployment.Exchange(3);
  const TimePoint now = deployment.clock.Now();
  BOOST_TEST(deployment.limit.TryConsume(0, 2 * kLimit.capacity, now, LimitTokenUse::Continuation) >
             0);
  BOOST_TEST(deployment.limit.TryConsume(0, 100, now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
