#include "Lagoonward/Admission/DemandSum.h"
#include "Lagoonward/Admission/PooledBucket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/SharedLimit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <vector>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kClient = 7;
constexpr PooledLimit kLimit{ 6000, 6000, 500 };
constexpr Milliseconds kInterval{ 400 };

/// Daemons of one client's limit, in groups whose first daemon sums what the others tell.
class Fleet
{
public:
  Fleet(std::size_t aDaemons, std::size_t aPerGroup)
    : perGroup(aPerGroup)
    , limit(aDaemons, kLimit, clock.Now())
    , members((aDaemons + aPerGroup - 1) / aPerGroup, DemandSum({}, clock))
    , groups(this->members.size(), DemandSum({}, clock))
  {
    for (PooledBucket& bucket : this->limit.buckets) {
      bucket.OnInterval(static_cast<int>(aDaemons), this->clock.Now());
    }
    this->connected = this->members.size();
    this->limit.reaches = [this](std::size_t aFrom, std::size_t aTo) {
      const std::size_t from = aFrom / this->perGroup;
      const std::size_t to = aTo / this->perGroup;
      return from == to || std::max(from, to) < this->connected;
    };
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// One interval: daemons tell their group, groups tell each other, daemons hear the sum.
  /// @param aConnected  groups that hear each other, from the first on
  void Exchange(std::size_t aConnected)
  {
    this->clock.Advance(kInterval);
    this->connected = aConnected;
    const TimePoint now = this->clock.Now();
    std::vector<PooledBucket>& buckets = this->limit.buckets;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
      buckets[index].OnInterval(static_cast<int>(buckets.size()), now);
      const std::array<ClientDemand, 1> told{ ClientDemand{ kClient, 0, 0,
                                                            buckets[index].AdmittedTotal() } };
      this->members[index / this->perGroup].OnTold(index, 1, 1, told);
    }
    for (std::size_t from = 0; from < aConnected; ++from) {
      const DemandOfOthers sum = this->members[from].Sum();
      for (std::size_t to = 0; to < aConnected; ++to) {
        if (to != from) {
          this->groups[to].OnTold(from, 1, sum.daemons, sum.demand);
        }
      }
    }
    for (std::size_t index = 0; index < buckets.size(); ++index) {
      const std::size_t group = index / this->perGroup;
      const DemandOfOthers near = this->members[group].SumOfOthers(index);
      const DemandOfOthers far = this->groups[group].Sum();
      const double total = Total(near) + Total(far);
      buckets[index].OnPeer(0, total, now, near.daemons + far.daemons, near.series);
    }
  }

  static double Total(const DemandOfOthers& aSum)
  {
    return aSum.demand.empty() ? 0 : aSum.demand.front().admittedTotal;
  }

  /// Lets all hear of each other.
  void Settle()
  {
    for (int interval = 0; interval < 20; ++interval) {
      this->Exchange(this->members.size());
    }
  }

  /// One client asks for so many tokens in requests of one size, each at the next daemon in turn.
  /// @return tokens admitted
  double Ask(double aTokens, double aPerRequest)
  {
    double admitted = 0;
    for (double asked = 0; asked < aTokens; asked += aPerRequest) {
      const std::size_t daemon = this->next++ % this->limit.buckets.size();
      admitted += this->limit.Take(daemon, aPerRequest, this->clock.Now()) == 0 ? aPerRequest : 0;
    }
    return admitted;
  }

  VirtualClock clock;
  std::size_t perGroup;
  SharedLimit limit;
  std::size_t connected = 0;      ///< Groups that reach each other, from the first on.
  std::vector<DemandSum> members; ///< By group.
  std::size_t next = 0;           ///< Daemon that is asked next.
  std::vector<DemandSum> groups;  ///< What each group hears of the others.
};

/// What a client far above its limit asks for, in tokens per second.
constexpr double kAskedRate = 6 * kLimit.rate;

/// Lets the client ask for some intervals. @return tokens admitted
double
AskFor(Fleet& aFleet, int aIntervals, std::size_t aConnected, double aPerRequest)
{
  double admitted = 0;
  for (int interval = 0; interval < aIntervals; ++interval) {
    admitted += aFleet.Ask(kAskedRate * ToSeconds(kInterval), aPerRequest);
    aFleet.Exchange(aConnected);
  }
  return admitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandSumTests)

BOOST_AUTO_TEST_CASE(TellsEachSourceTheSumOfTheOthers)
{
  VirtualClock clock;
  DemandSum sum({}, clock);
  sum.OnTold(1, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 100 } });
  sum.OnTold(2, 1, 3, std::array{ ClientDemand{ kClient, 30, 4, 900 } });
  sum.OnTold(2, 1, 3, std::array{ ClientDemand{ kClient, 20, 1, 950 } });
  const DemandOfOthers others = sum.SumOfOthers(1);
  BOOST_TEST(others.daemons == 3);
  BOOST_TEST(others.demand.front().tokensPerSecond == 20);
  BOOST_TEST(others.demand.front().running == 1);
  // It counts from where each began
  BOOST_TEST(others.demand.front().admittedTotal == 50);
  BOOST_TEST(sum.SumOfOthers(2).demand.front().admittedTotal == 0);
}

BOOST_AUTO_TEST_CASE(ATotalNeverFallsWhateverBecomesOfItsSources)
{
  VirtualClock clock;
  DemandSum sum({}, clock);
  sum.OnTold(1, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 100 } });
  sum.OnTold(2, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 0 } });
  sum.OnTold(2, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 500 } });
  // It starts anew and counts from zero
  sum.OnTold(2, 2, 1, std::array{ ClientDemand{ kClient, 10, 2, 0 } });
  BOOST_TEST(sum.SumOfOthers(1).demand.front().admittedTotal == 500);
  sum.OnTold(2, 2, 1, std::array{ ClientDemand{ kClient, 10, 2, 30 } });
  BOOST_TEST(sum.SumOfOthers(1).demand.front().admittedTotal == 530);
  clock.Advance(Seconds(30));
  sum.Forget();
  const DemandOfOthers rest = sum.SumOfOthers(1);
  BOOST_TEST(rest.demand.front().admittedTotal == 530);
  BOOST_TEST(rest.demand.front().running == 0);
  BOOST_TEST(rest.daemons == 0);
}

BOOST_AUTO_TEST_CASE(ASourceThatBeginsAnewIsToldAnotherSeries)
{
  VirtualClock clock;
  DemandSum sum({}, clock);
  sum.OnTold(1, 1, 1, std::array{ ClientDemand{ kClient, 0, 0, 100 } });
  const std::uint64_t before = sum.SumOfOthers(1).series;
  clock.Advance(Seconds(30));
  sum.Forget();
  sum.OnTold(1, 1, 1, std::array{ ClientDemand{ kClient, 0, 0, 100 } });
  BOOST_TEST(sum.SumOfOthers(1).series != before);
}

BOOST_AUTO_TEST_CASE(MoreClientsThanAnyDeploymentHasAreLeftOut)
{
  VirtualClock clock;
  DemandSumSettings settings;
  settings.maximumClients = 2;
  DemandSum sum(settings, clock);
  sum.OnTold(1, 1, 1,
             std::array{ ClientDemand{ 1, 0, 0, 0 }, ClientDemand{ 2, 0, 0, 0 },
                         ClientDemand{ 3, 0, 0, 0 } });
  BOOST_TEST(sum.Sum().demand.size() == 2U);
}

/// Load pattern: one client asks six times its limit, evenly at all daemons of a fleet of any size, told through groups.
/// Grounds: above half of the bucket daemons give out what is asked for until they hear of each other, two
/// intervals later; that, and no more, may be given beyond the limit, however many daemons there are.
BOOST_DATA_TEST_CASE(ALimitHoldsOverAFleetOfAnySize,
                     boost::unit_test::data::make({ 20, 100, 300, 600 }), daemons)
{
  Fleet fleet(static_cast<std::size_t>(daemons), 50);
  fleet.Settle();
  constexpr int kIntervals = 40;
  const double admitted = AskFor(fleet, kIntervals, fleet.members.size(), 100);
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= kLimit.rate * seconds + kLimit.capacity + kLimit.slack +
                           2 * kAskedRate * ToSeconds(kInterval));
  BOOST_TEST(admitted >= kLimit.rate * seconds * 0.8);
}

/// Load pattern: the same while every group hears only itself, as when all failure domains are cut off from each other.
/// Grounds: once the silence shows, each side keeps to its daemons' part, so that all together stay within the limit.
BOOST_DATA_TEST_CASE(GroupsCutOffKeepToTheirParts, boost::unit_test::data::make({ 100, 300, 600 }),
                     daemons)
{
  Fleet fleet(static_cast<std::size_t>(daemons), 50);
  fleet.Settle();
  AskFor(fleet, 8, 0, 1);
  constexpr int kIntervals = 40;
  const double admitted = AskFor(fleet, kIntervals, 0, 1);
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= kLimit.rate * seconds + kLimit.capacity + kLimit.slack);
  BOOST_TEST(admitted >= kLimit.rate * seconds * 0.4);
}

BOOST_AUTO_TEST_SUITE_END()
