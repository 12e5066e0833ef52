#include "Lagoonward/Admission/DemandAggregator.h"
#include "Lagoonward/Admission/SharedTokenBucket.h"
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

/// Daemons that share one client's limit, in groups. The first daemon of a group aggregates the reports of the others.
class Fleet
{
public:
  Fleet(std::size_t aDaemons, std::size_t aPerGroup)
    : perGroup(aPerGroup)
    , limit(aDaemons, kLimit, clock.Now())
    , members((aDaemons + aPerGroup - 1) / aPerGroup, DemandAggregator({}, clock))
    , groups(this->members.size(), DemandAggregator({}, clock))
  {
    for (SharedTokenBucket& bucket : this->limit.buckets) {
      bucket.OnSendInterval(static_cast<int>(aDaemons), this->clock.Now());
    }
    this->connectedGroups = this->members.size();
    this->limit.canReach = [this](std::size_t aFrom, std::size_t aTo) {
      const std::size_t from = aFrom / this->perGroup;
      const std::size_t to = aTo / this->perGroup;
      return from == to || std::max(from, to) < this->connectedGroups;
    };
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// One interval: daemons report to their group, groups report to each other, daemons receive the sum.
  /// @param aConnectedGroups  number of groups that reach each other, starting with the first
  void Exchange(std::size_t aConnectedGroups)
  {
    this->clock.Advance(kInterval);
    this->connectedGroups = aConnectedGroups;
    const TimePoint now = this->clock.Now();
    std::vector<SharedTokenBucket>& buckets = this->limit.buckets;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
      buckets[index].OnSendInterval(static_cast<int>(buckets.size()), now);
      const std::array<ClientDemand, 1> report{ ClientDemand{ kClient, 0, 0,
                                                              buckets[index].AdmittedTotal() } };
      this->members[index / this->perGroup].OnReport(index, 1, 1, report);
    }
    for (std::size_t from = 0; from < aConnectedGroups; ++from) {
      const AggregatedDemand sum = this->members[from].Sum();
      for (std::size_t to = 0; to < aConnectedGroups; ++to) {
        if (to != from) {
          this->groups[to].OnReport(from, 1, sum.daemons, sum.demand);
        }
      }
    }
    for (std::size_t index = 0; index < buckets.size(); ++index) {
      const std::size_t group = index / this->perGroup;
      const AggregatedDemand groupSum = this->members[group].SumOfOthers(index);
      const AggregatedDemand otherGroupsSum = this->groups[group].Sum();
      const double total = Total(groupSum) + Total(otherGroupsSum);
      buckets[index].OnPeerTotal(0, total, now, groupSum.daemons + otherGroupsSum.daemons,
                                 groupSum.series);
    }
  }

  static double Total(const AggregatedDemand& aSum)
  {
    return aSum.demand.empty() ? 0 : aSum.demand.front().admittedTotal;
  }

  /// Exchanges totals until all daemons have received those of all others.
  void ExchangeUntilSettled()
  {
    for (int interval = 0; interval < 20; ++interval) {
      this->Exchange(this->members.size());
    }
  }

  /// Sends requests of one size for a number of tokens in total, to the daemons in turn.
  /// @return tokens admitted
  double SendRequests(double aTokens, double aPerRequest)
  {
    double admitted = 0;
    for (double requested = 0; requested < aTokens; requested += aPerRequest) {
      const std::size_t daemon = this->nextDaemon++ % this->limit.buckets.size();
      admitted +=
        this->limit.TryConsume(daemon, aPerRequest, this->clock.Now()) == 0 ? aPerRequest : 0;
    }
    return admitted;
  }

  VirtualClock clock;
  std::size_t perGroup;
  SharedLimit limit;
  std::size_t connectedGroups =
    0; ///< Number of groups that reach each other, starting with the first.
  std::vector<DemandAggregator> members; ///< By group.
  std::size_t nextDaemon = 0;            ///< Daemon that receives the next request.
  std::vector<DemandAggregator> groups;  ///< Reports that each group received from the others.
};

/// Tokens per second requested by a client far above its limit.
constexpr double kRequestedRate = 6 * kLimit.rate;

/// Sends the client's requests for some intervals. @return tokens admitted
double
SendForIntervals(Fleet& aFleet, int aIntervals, std::size_t aConnectedGroups, double aPerRequest)
{
  double admitted = 0;
  for (int interval = 0; interval < aIntervals; ++interval) {
    admitted += aFleet.SendRequests(kRequestedRate * ToSeconds(kInterval), aPerRequest);
    aFleet.Exchange(aConnectedGroups);
  }
  return admitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandAggregatorTests)

BOOST_AUTO_TEST_CASE(SumOfOthersExcludesTheSourceItself)
{
  VirtualClock clock;
  DemandAggregator sum({}, clock);
  sum.OnReport(1, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 100 } });
  sum.OnReport(2, 1, 3, std::array{ ClientDemand{ kClient, 30, 4, 900 } });
  sum.OnReport(2, 1, 3, std::array{ ClientDemand{ kClient, 20, 1, 950 } });
  const AggregatedDemand others = sum.SumOfOthers(1);
  BOOST_TEST(others.daemons == 3);
  BOOST_TEST(others.demand.front().tokensPerSecond == 20);
  BOOST_TEST(others.demand.front().running == 1);
  // The first total of each source is its baseline
  BOOST_TEST(others.demand.front().admittedTotal == 50);
  BOOST_TEST(sum.SumOfOthers(2).demand.front().admittedTotal == 0);
}

BOOST_AUTO_TEST_CASE(AdmittedTotalNeverDecreasesWhenASourceRestartsOrIsRemoved)
{
  VirtualClock clock;
  DemandAggregator sum({}, clock);
  sum.OnReport(1, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 100 } });
  sum.OnReport(2, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 0 } });
  sum.OnReport(2, 1, 1, std::array{ ClientDemand{ kClient, 10, 2, 500 } });
  // The source restarts and counts from zero
  sum.OnReport(2, 2, 1, std::array{ ClientDemand{ kClient, 10, 2, 0 } });
  BOOST_TEST(sum.SumOfOthers(1).demand.front().admittedTotal == 500);
  sum.OnReport(2, 2, 1, std::array{ ClientDemand{ kClient, 10, 2, 30 } });
  BOOST_TEST(sum.SumOfOthers(1).demand.front().admittedTotal == 530);
  clock.Advance(Seconds(30));
  sum.RemoveStaleSources();
  const AggregatedDemand rest = sum.SumOfOthers(1);
  BOOST_TEST(rest.demand.front().admittedTotal == 530);
  BOOST_TEST(rest.demand.front().running == 0);
  BOOST_TEST(rest.daemons == 0);
}

BOOST_AUTO_TEST_CASE(SourceAddedAgainGetsANewSeries)
{
  VirtualClock clock;
  DemandAggregator sum({}, clock);
  sum.OnReport(1, 1, 1, std::array{ ClientDemand{ kClient, 0, 0, 100 } });
  const std::uint64_t before = sum.SumOfOthers(1).series;
  clock.Advance(Seconds(30));
  sum.RemoveStaleSources();
  sum.OnReport(1, 1, 1, std::array{ ClientDemand{ kClient, 0, 0, 100 } });
  BOOST_TEST(sum.SumOfOthers(1).series != before);
}

BOOST_AUTO_TEST_CASE(ClientsBeyondTheMaximumAreIgnored)
{
  VirtualClock clock;
  DemandAggregatorSettings settings;
  settings.maximumClients = 2;
  DemandAggregator sum(settings, clock);
  sum.OnReport(1, 1, 1,
               std::array{ ClientDemand{ 1, 0, 0, 0 }, ClientDemand{ 2, 0, 0, 0 },
                           ClientDemand{ 3, 0, 0, 0 } });
  BOOST_TEST(sum.Sum().demand.size() == 2U);
}

/// One client requests six times its limit, evenly distributed over all daemons of a deployment of any size; totals are
/// exchanged through groups. While the bucket is more than half full, daemons admit all requests until they receive
/// each other's totals, two intervals later. Only this amount may be admitted beyond the limit, for any number of
/// daemons.
BOOST_DATA_TEST_CASE(LimitHoldsForAnyNumberOfDaemons,
                     boost::unit_test::data::make({ 20, 100, 300, 600 }), daemons)
{
  Fleet fleet(static_cast<std::size_t>(daemons), 50);
  fleet.ExchangeUntilSettled();
  constexpr int kIntervals = 40;
  const double admitted = SendForIntervals(fleet, kIntervals, fleet.members.size(), 100);
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= kLimit.rate * seconds + kLimit.capacity + kLimit.slack +
                           2 * kRequestedRate * ToSeconds(kInterval));
  BOOST_TEST(admitted >= kLimit.rate * seconds * 0.8);
}

/// The same load while no group reaches another, as in a network partition between all failure domains. Once the groups
/// have detected the partition, each must stay within the share of its daemons, so that all together stay within the
/// limit.
BOOST_DATA_TEST_CASE(PartitionedGroupsStayWithinTheirShares,
                     boost::unit_test::data::make({ 100, 300, 600 }), daemons)
{
  Fleet fleet(static_cast<std::size_t>(daemons), 50);
  fleet.ExchangeUntilSettled();
  SendForIntervals(fleet, 8, 0, 1);
  constexpr int kIntervals = 40;
  const double admitted = SendForIntervals(fleet, kIntervals, 0, 1);
  const double seconds = ToSeconds(kInterval) * kIntervals;
  BOOST_TEST(admitted <= kLimit.rate * seconds + kLimit.capacity + kLimit.slack);
  BOOST_TEST(admitted >= kLimit.rate * seconds * 0.4);
}

BOOST_AUTO_TEST_SUITE_END()
