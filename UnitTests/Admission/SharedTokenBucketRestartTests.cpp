#include "Lagoonward/Admission/SharedTokenBucket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/DaemonCountEstimator.h"
#include "UnitTests/Support/SharedLimit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kStep{ 50 };
constexpr Milliseconds kReportInterval{ 400 };
constexpr Milliseconds kWindow{ 8000 };

/// The limit as it is in the configuration, and what all endpoints together may run of it in a window.
constexpr double kRate = 320'000;
constexpr double kBurst = 320'000;
constexpr double kTolerance = 0.1;
constexpr double kSlack = 140'000;
constexpr double kAllowed = (kRate * 8 + kBurst) * (1 + kTolerance) + kSlack;

/// What the daemons divide: the parts of the tolerance and of the slack that `lagoonward relay` uses.
constexpr PooledLimit kPooled{ kRate * 1.05, kBurst * 1.05, kSlack / 2 };

constexpr double kRequestTokens = 4000;

/// When a daemon that starts with all others learns something, as measured on a restart of 81 daemons on small hosts.
constexpr Milliseconds kListArrivesFirst{ 100 };
constexpr Milliseconds kListArrivesLast{ 400 };
constexpr Milliseconds kRolesKnown{ 600 };
constexpr Milliseconds kReportsKnown{ 1000 };
constexpr int kSeeds = 3;

PeerView
SeedsOnly()
{
  PeerView view;
  for (int index = 0; index < kSeeds; ++index) {
    Peer peer;
    peer.info.id = fmt::format("seed-{}", index);
    peer.key = peer.info.Key();
    view.peers.push_back(peer);
  }
  return view;
}

/// Daemons that share one client's limit. Counts what endpoints run, as the platform does: each run of a request.
class Fleet
{
public:
  explicit Fleet(int aDaemons)
    : daemons(static_cast<std::size_t>(aDaemons))
    , limit(this->daemons, kPooled, clock.Now())
  {
    this->RestartAll();
    for (int step = 0; step < 600; ++step) {
      this->Step();
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// All processes are killed and start again.
  void RestartAll()
  {
    this->startedAt = this->clock.Now();
    this->hasRoles = false;
    this->estimators.assign(this->daemons, DaemonCountEstimator({}, this->startedAt));
    this->limit.buckets.assign(this->daemons, SharedTokenBucket({}, this->startedAt));
    this->limit.canReach = [](std::size_t, std::size_t) { return false; };
    for (std::size_t index = 0; index < this->daemons; ++index) {
      this->limit.buckets[index].Configure(kPooled, this->startedAt);
      // In its own view each daemon is the only one
      this->limit.buckets[index].SetReserveRole(ReserveRole::Primary, this->startedAt);
      this->estimators[index].OnPeers(SeedsOnly(), this->startedAt);
    }
  }

  /// The owner of the primary reserve is killed and starts again, and has received the total of the others.
  void RestartOwner()
  {
    const TimePoint now = this->clock.Now();
    const std::size_t owner = this->limit.reserveDaemons[0];
    double others = 0;
    for (std::size_t index = 0; index < this->daemons; ++index) {
      others += index == owner ? 0 : this->limit.buckets[index].AdmittedTotal();
    }
    SharedTokenBucket& bucket = this->limit.buckets[owner];
    bucket = SharedTokenBucket({}, now);
    bucket.Configure(kPooled, now);
    bucket.OnSendInterval(static_cast<int>(this->daemons), now);
    bucket.SetReserveRole(ReserveRole::Primary, now);
    bucket.OnPeerTotal(1, others, now, static_cast<int>(this->daemons) - 1);
  }

  /// Each daemon gets requests in turn until the given demand of this step is used up or all refuse.
  void Demand(double aTokensPerSecond)
  {
    this->demanded += aTokensPerSecond * ToSeconds(kStep);
    while (this->demanded >= kRequestTokens) {
      this->demanded -= kRequestTokens;
      this->next = (this->next + 1) % this->daemons;
      if (this->limit.TryConsume(this->next, kRequestTokens, this->clock.Now()) == 0) {
        this->running.push_back({ this->next, this->clock.Now() });
        this->Run(kRequestTokens);
      }
    }
  }

  /// A fraction of the endpoints crash: of the requests of the last two seconds as many are run again.
  void CrashEndpoints(double aFraction)
  {
    const auto repeats =
      static_cast<std::size_t>(aFraction * static_cast<double>(this->running.size()));
    for (std::size_t index = 0; index < repeats; ++index) {
      this->limit.ChargeRepeat(this->running[index].daemon, kRequestTokens, this->clock.Now());
      this->Run(kRequestTokens);
    }
  }

  void Step()
  {
    this->clock.Advance(kStep);
    const TimePoint now = this->clock.Now();
    const auto age = std::chrono::duration_cast<Milliseconds>(now - this->startedAt);
    this->LearnLists(age);
    if (age >= kRolesKnown && !this->hasRoles) {
      this->TakeRoles();
    }
    if (age.count() % kReportInterval.count() == 0) {
      this->Report(age);
    }
    while (!this->running.empty() && now - this->running.front().at > Seconds(2)) {
      this->running.pop_front();
    }
    this->ran.push_back(0);
    if (this->ran.size() > static_cast<std::size_t>(kWindow / kStep)) {
      this->inWindow -= this->ran.front();
      this->ran.pop_front();
    }
  }

  [[nodiscard]] double WorstWindow() const { return this->worstWindow; }
  [[nodiscard]] double Total() const { return this->total; }

private:
  struct Running
  {
    std::size_t daemon;
    TimePoint at;
  };

  void Run(double aTokens)
  {
    if (this->ran.empty()) {
      this->ran.push_back(0);
    }
    this->ran.back() += aTokens;
    this->inWindow += aTokens;
    this->total += aTokens;
    this->worstWindow = std::max(this->worstWindow, this->inWindow);
  }

  void LearnLists(Milliseconds aAge)
  {
    const auto span = kListArrivesLast - kListArrivesFirst;
    const TimePoint now = this->clock.Now();
    for (std::size_t index = 0; index < this->daemons; ++index) {
      const auto share =
        static_cast<std::int64_t>(index) * span.count() / static_cast<std::int64_t>(this->daemons);
      if (aAge >= kListArrivesFirst + Milliseconds(share)) {
        this->estimators[index].OnList(static_cast<int>(this->daemons));
      }
      if (const auto count = this->estimators[index].Count(now)) {
        // After the list's validity the view counts; in these tests it is complete by then
        const int live = aAge >= kRolesKnown ? static_cast<int>(this->daemons) : *count;
        this->limit.buckets[index].OnSendInterval(std::max(*count, live), now);
      }
    }
  }

  void TakeRoles()
  {
    this->hasRoles = true;
    const TimePoint now = this->clock.Now();
    for (SharedTokenBucket& bucket : this->limit.buckets) {
      bucket.SetReserveRole(ReserveRole::None, now);
    }
    this->limit.buckets[this->limit.reserveDaemons[0]].SetReserveRole(ReserveRole::Primary, now);
    this->limit.buckets[this->limit.reserveDaemons[1]].SetReserveRole(ReserveRole::Backup, now);
    this->limit.canReach = [](std::size_t, std::size_t) { return true; };
  }

  void Report(Milliseconds aAge)
  {
    if (aAge < kReportsKnown) {
      return;
    }
    const TimePoint now = this->clock.Now();
    double sum = 0;
    for (const SharedTokenBucket& bucket : this->limit.buckets) {
      sum += bucket.AdmittedTotal();
    }
    for (SharedTokenBucket& bucket : this->limit.buckets) {
      bucket.OnPeerTotal(1, sum - bucket.AdmittedTotal(), now, static_cast<int>(this->daemons) - 1);
    }
  }

  VirtualClock clock;
  std::size_t daemons;
  SharedLimit limit;
  std::vector<DaemonCountEstimator> estimators;
  TimePoint startedAt;
  bool hasRoles = false;
  double demanded = 0;
  std::size_t next = 0;
  std::deque<Running> running; ///< Requests of the last two seconds.
  std::deque<double> ran;      ///< Tokens run by step, the last window.
  double inWindow = 0;
  double worstWindow = 0;
  double total = 0;
};

void
Play(Fleet& aFleet, Milliseconds aSpan, double aTokensPerSecond)
{
  for (Milliseconds at{ 0 }; at < aSpan; at += kStep) {
    aFleet.Demand(aTokensPerSecond);
    aFleet.Step();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharedTokenBucketRestartTests)

/// Load pattern: one client sends several times its limit, and all daemons are killed while it does. Guards against
/// daemons that divide the limit by the few daemons that they know at first: 81 of them gave a client almost three times
/// its rate in the second after the restart.
BOOST_DATA_TEST_CASE(LimitHoldsIfAllDaemonsRestartUnderAHotClient,
                     boost::unit_test::data::make({ 6, 81, 600 }) *
                       boost::unit_test::data::make({ 1, 4, 7 }),
                     daemons, secondsBefore)
{
  Fleet fleet(daemons);
  Play(fleet, Seconds(secondsBefore), 5 * kRate);
  fleet.RestartAll();
  Play(fleet, Seconds(8), 5 * kRate);
  BOOST_TEST(fleet.WorstWindow() <= kAllowed);
  // It is not refused what its limit allows
  const double before = fleet.Total();
  Play(fleet, Seconds(8), 5 * kRate);
  BOOST_TEST(fleet.Total() - before >= 8 * kRate * 0.9);
}

/// Load pattern: a client within its limit, and all daemons are killed.
BOOST_DATA_TEST_CASE(ClientWithinItsLimitIsServedSoonAfterARestart,
                     boost::unit_test::data::make({ 6, 81, 600 }), daemons)
{
  Fleet fleet(daemons);
  Play(fleet, Seconds(4), 0.5 * kRate);
  fleet.RestartAll();
  Play(fleet, Seconds(2), 0.5 * kRate);
  const double before = fleet.Total();
  Play(fleet, Seconds(4), 0.5 * kRate);
  BOOST_TEST(fleet.Total() - before >= 4 * 0.5 * kRate * 0.98);
}

/// Load pattern: all daemons are killed, and a client within its limit sends again at once. Guards against reserves that
/// are empty until they have been refilled: nearly all requests of half a second were refused.
BOOST_DATA_TEST_CASE(ClientWithinItsLimitIsServedOnceReservesAreFound,
                     boost::unit_test::data::make({ 6, 81, 600 }), daemons)
{
  Fleet fleet(daemons);
  Play(fleet, Seconds(4), 0.5 * kRate);
  fleet.RestartAll();
  Play(fleet, kRolesKnown, 0.5 * kRate);
  const double before = fleet.Total();
  const auto span = kReportsKnown - kRolesKnown;
  Play(fleet, span, 0.5 * kRate);
  BOOST_TEST(fleet.Total() - before >= 0.5 * kRate * ToSeconds(span) * 0.8);
}

/// Load pattern: a client sends several times its limit, and the daemon that owns its primary reserve restarts alone.
/// The advance is for the case that all have started together. Until the total arrives the owner cannot tell the two
/// cases apart; that time is not covered here.
BOOST_DATA_TEST_CASE(OwnerThatRestartsAloneGrantsNoAdvance,
                     boost::unit_test::data::make({ 6, 81, 600 }), daemons)
{
  Fleet fleet(daemons);
  Play(fleet, Seconds(4), 5 * kRate);
  fleet.RestartOwner();
  const double before = fleet.Total();
  Play(fleet, Milliseconds(500), 5 * kRate);
  BOOST_TEST(fleet.Total() - before <= 0.6 * kRate);
}

/// Load pattern: all daemons have been killed, and clients that retry once come back at once. Guards against a refusal
/// that names a time at which the reserves are still empty.
BOOST_AUTO_TEST_CASE(RefusalAfterAStartNamesATimeWhenReservesAreFilled)
{
  const SharedTokenBucketSettings settings;
  VirtualClock clock;
  SharedTokenBucket bucket(settings, clock.Now());
  bucket.Configure(kPooled, clock.Now());
  bucket.SetReserveRole(ReserveRole::None, clock.Now());
  bucket.OnSendInterval(81, clock.Now());
  BOOST_TEST(bucket.TryConsume(kRequestTokens, clock.Now()) >= ToSeconds(settings.settlingTime));
}

/// Load pattern: one client sends several times its limit, and a fifth of the endpoints crash again and again, so that
/// its requests run twice. Guards against a limit that counts a request once however often it is run.
BOOST_DATA_TEST_CASE(LimitHoldsIfEndpointsCrashUnderAHotClient,
                     boost::unit_test::data::make({ 6, 81, 600 }) *
                       boost::unit_test::data::make({ 1, 3, 6 }),
                     daemons, secondsBefore)
{
  constexpr double kCrashing = 0.21;
  Fleet fleet(daemons);
  Play(fleet, Seconds(secondsBefore), 5 * kRate);
  for (int crash = 0; crash < 5; ++crash) {
    fleet.CrashEndpoints(kCrashing);
    Play(fleet, Seconds(1), 5 * kRate);
  }
  Play(fleet, Seconds(4), 5 * kRate);
  BOOST_TEST(fleet.WorstWindow() <= kAllowed);
}

BOOST_AUTO_TEST_SUITE_END()
