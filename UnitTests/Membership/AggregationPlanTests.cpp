#include "Lagoonward/Membership/AggregationPlan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace lagoonward;

namespace {

PeerInfo
Daemon(int aIndex, int aDomains)
{
  const std::string number = std::to_string(aIndex);
  return { "daemon-" + number, "10.0.0." + number, 7600,
           "domain-" + std::to_string(aIndex % aDomains), "region" };
}

/// Peer view of one daemon: all daemons but itself.
PeerView
ViewOf(int aSelf, int aDaemons, int aDomains)
{
  PeerView view;
  for (int index = 0; index < aDaemons; ++index) {
    if (index != aSelf) {
      const PeerInfo info = Daemon(index, aDomains);
      view.peers.push_back({ info, info.Key(), PeerState::Alive, 1 });
    }
  }
  return view;
}

AggregationPlan
PlanOf(int aSelf, int aDaemons, int aDomains)
{
  return MakeAggregationPlan(Daemon(aSelf, aDomains), true, ViewOf(aSelf, aDaemons, aDomains), {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(AggregationPlanTests)

/// Load pattern: fleets of several sizes in six failure domains, each daemon with its own view. Guards against
/// oversized groups, as an aggregator answers all reports of its group, and against members that disagree on the
/// primary aggregator.
BOOST_DATA_TEST_CASE(GroupSizeIsBoundedAndMembersAgreeOnTheAggregators,
                     boost::unit_test::data::make({ 20, 100, 300, 600 }), daemons)
{
  constexpr int kDomains = 6;
  std::map<std::uint64_t, std::set<PeerKey>> primaries;
  std::map<std::uint64_t, std::size_t> sizes;
  for (int self = 0; self < daemons; ++self) {
    const AggregationPlan plan = PlanOf(self, daemons, kDomains);
    BOOST_REQUIRE(!plan.ownAggregators.empty());
    primaries[plan.group].insert(plan.ownAggregators.front().key);
    ++sizes[plan.group];
    BOOST_TEST(plan.groupMembers.size() < 2 * AggregationSettings{}.maximumGroupSize);
    BOOST_TEST(plan.ownAggregators.size() + plan.otherAggregators.size() ==
               plan.allAggregators.size());
    BOOST_TEST(plan.daemonCount == daemons);
  }
  for (const auto& [group, chosen] : primaries) {
    BOOST_TEST(chosen.size() == 1U);
  }
  BOOST_TEST(primaries.size() >= static_cast<std::size_t>(kDomains));
  BOOST_TEST(primaries.size() <= static_cast<std::size_t>(kDomains) * 2);
}

BOOST_AUTO_TEST_CASE(SingleGroupHasThreeAggregators)
{
  const AggregationPlan plan = PlanOf(0, 8, 1);
  BOOST_TEST(plan.ownAggregators.size() == 3U);
  BOOST_TEST(plan.otherAggregators.empty());
}

BOOST_AUTO_TEST_CASE(LeavingDaemonIsNotAnAggregatorInItsOwnPlan)
{
  const PeerInfo self = Daemon(0, 1);
  const AggregationPlan plan = MakeAggregationPlan(self, false, ViewOf(0, 3, 1), {});
  BOOST_TEST(!plan.IsAggregator(self.Key()));
  BOOST_TEST(plan.RankOf(self.Key()) == 2);
}

BOOST_AUTO_TEST_CASE(LeavingOrSuspectedPeerIsNotAnAggregator)
{
  PeerView view = ViewOf(0, 8, 1);
  view.peers.at(2).state = PeerState::Leaving;
  view.peers.at(3).state = PeerState::Suspect;
  const AggregationPlan plan = MakeAggregationPlan(Daemon(0, 1), true, view, {});
  BOOST_TEST(!plan.IsAggregator(view.peers.at(2).key));
  BOOST_TEST(!plan.IsAggregator(view.peers.at(3).key));
  BOOST_TEST(plan.daemonCount == 6);
}

/// Load pattern: a deployment starts, and some daemons know peers only by the seeds in their settings. Guards against
/// treating such peers as a failure domain of their own: it had no aggregator, and their usage was never reported.
BOOST_AUTO_TEST_CASE(PeerKnownOnlyByAddressIsNotInThePlan)
{
  PeerView view = ViewOf(0, 8, 2);
  for (Peer& peer : view.peers) {
    peer.info.failureDomain.clear();
  }
  const AggregationPlan plan = MakeAggregationPlan(Daemon(0, 2), true, view, {});
  BOOST_TEST(plan.otherAggregators.empty());
  BOOST_TEST(plan.daemonCount == 1);
}

BOOST_AUTO_TEST_SUITE_END()
