#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/DaemonCountEstimator.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace lagoonward;

namespace {

constexpr DaemonCountSettings kSettings;
constexpr int kSeeds = 3;

/// The view of a daemon that knows this many others. Seeds are known by their address only until they respond.
PeerView
ViewOf(int aPeers, bool aIdentified = true)
{
  PeerView view;
  for (int index = 0; index < aPeers; ++index) {
    Peer peer;
    peer.info.id = fmt::format("10.0.0.{}", index);
    peer.info.failureDomain = aIdentified ? "d" : "";
    peer.key = peer.info.Key();
    view.peers.push_back(peer);
  }
  return view;
}

struct Fixture
{
  VirtualClock clock;
  DaemonCountEstimator estimator{ kSettings, clock.Now() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonCountEstimatorTests)

/// All daemons start at the same time. Guards against daemons that take the seeds for all there are: each of 81 daemons
/// took a quarter of a client's limit until it had read the list.
BOOST_FIXTURE_TEST_CASE(SeedsAloneAreNoCount, Fixture)
{
  this->estimator.OnPeers(ViewOf(kSeeds, false), this->clock.Now());
  BOOST_TEST(!this->estimator.Count(this->clock.Now()).has_value());
  // Seeds that respond have just started, too
  this->estimator.OnPeers(ViewOf(kSeeds), this->clock.Now());
  BOOST_TEST(!this->estimator.Count(this->clock.Now()).has_value());
  this->estimator.OnList(81);
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 81);
}

BOOST_FIXTURE_TEST_CASE(SingleListedDaemonCountsItself, Fixture)
{
  this->estimator.OnList(1);
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 1);
}

/// The store turns this daemon away.
BOOST_FIXTURE_TEST_CASE(WithoutAListTheViewCountsAfterATimeout, Fixture)
{
  this->estimator.OnPeers(ViewOf(20), this->clock.Now());
  this->clock.Advance(kSettings.listTimeout);
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 21);
}

/// The list also contains daemons that were terminated long ago.
BOOST_FIXTURE_TEST_CASE(ListIsNotUsedForLong, Fixture)
{
  this->estimator.OnList(500);
  this->estimator.OnPeers(ViewOf(20), this->clock.Now());
  this->clock.Advance(kSettings.listValidity);
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 21);
}

/// A network partition that lasts longer than the failure detection. Guards against both sides taking the whole of a
/// limit: 30 of 87 daemons divided it by 30.
BOOST_FIXTURE_TEST_CASE(DepartedDaemonsCountForATime, Fixture)
{
  this->estimator.OnList(87);
  this->estimator.OnPeers(ViewOf(86), this->clock.Now());
  this->clock.Advance(kSettings.listValidity);
  this->estimator.OnPeers(ViewOf(29), this->clock.Now());
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 87);
  this->clock.Advance(kSettings.departedRetention / 2);
  this->estimator.OnPeers(ViewOf(60), this->clock.Now());
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 87);
  this->clock.Advance(kSettings.departedRetention / 2 + Milliseconds(1));
  BOOST_TEST(this->estimator.Count(this->clock.Now()).value_or(0) == 61);
}

BOOST_AUTO_TEST_SUITE_END()
