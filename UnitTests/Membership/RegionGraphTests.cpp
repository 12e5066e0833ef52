#include "Lagoonward/Membership/RegionGraph.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace lagoonward;

namespace {

/// The graphs that aCount daemons compute, by daemon.
std::map<PeerKey, RegionGraph>
MakeGraphs(std::size_t aCount)
{
  std::vector<PeerKey> keys;
  for (std::size_t index = 0; index < aCount; ++index) {
    keys.push_back(ToPeerKey("daemon-" + std::to_string(index)));
  }
  std::map<PeerKey, RegionGraph> graphs;
  for (const PeerKey self : keys) {
    PeerEntries entries;
    for (const PeerKey key : keys) {
      if (key != self) {
        entries[key].regional = true;
        entries[key].peer.key = key;
      }
    }
    graphs.emplace(self, RegionGraph(self)).first->second.Rebuild(entries);
  }
  return graphs;
}

/// Rounds until an update of one daemon has reached all daemons; zero if it never does.
std::size_t
RoundsToReachAll(const std::map<PeerKey, RegionGraph>& aGraphs, PeerKey aFrom, std::size_t aFanout)
{
  std::set<PeerKey> reached{ aFrom };
  std::vector<PeerKey> frontier{ aFrom };
  std::size_t rounds = 0;
  while (!frontier.empty() && reached.size() < aGraphs.size()) {
    ++rounds;
    std::vector<PeerKey> next;
    for (const PeerKey key : frontier) {
      for (const PeerKey successor : aGraphs.at(key).Successors(aFanout)) {
        if (reached.insert(successor).second) {
          next.push_back(successor);
        }
      }
    }
    frontier = std::move(next);
  }
  return reached.size() == aGraphs.size() ? rounds : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegionGraphTests)

BOOST_AUTO_TEST_CASE(UpdatesOfEveryDaemonReachAllInLogarithmicallyManyRounds)
{
  for (const std::size_t count : { 2U, 3U, 7U, 8U, 32U, 127U }) {
    const auto graphs = MakeGraphs(count);
    for (const std::size_t fanout : { 2U, 4U }) {
      std::size_t limit = 0;
      for (std::size_t reach = 1; reach < count; reach *= fanout) {
        ++limit;
      }
      for (const auto& item : graphs) {
        const std::size_t rounds = RoundsToReachAll(graphs, item.first, fanout);
        BOOST_TEST(rounds > 0U);
        BOOST_TEST(rounds <= limit + 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(EveryDaemonHasThreeMonitors)
{
  const auto graphs = MakeGraphs(20);
  for (const auto& subject : graphs) {
    const auto monitors = std::count_if(graphs.begin(), graphs.end(), [&](const auto& aItem) {
      return aItem.first != subject.first && aItem.second.IsMonitorOf(subject.first, 3);
    });
    BOOST_TEST(monitors == 3);
  }
}

BOOST_AUTO_TEST_SUITE_END()
