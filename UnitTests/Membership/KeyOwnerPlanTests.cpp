#include "Lagoonward/Membership/KeyOwnerPlan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace lagoonward;

namespace {

constexpr int kDomains = 3;

PeerInfo
Daemon(int aIndex)
{
  const std::string number = std::to_string(aIndex);
  return { "daemon-" + number, "10.0.0." + number, 7600,
           "domain-" + std::to_string(aIndex % kDomains), "region" };
}

/// Peer view of one daemon: all daemons but itself.
PeerView
ViewOf(int aSelf, int aDaemons)
{
  PeerView view;
  for (int index = 0; index < aDaemons; ++index) {
    if (index != aSelf) {
      const PeerInfo info = Daemon(index);
      view.peers.push_back({ info, info.Key(), PeerState::Alive, 1 });
    }
  }
  return view;
}

std::uint64_t
Client(int aIndex)
{
  return HashBytes("client-" + std::to_string(aIndex));
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyOwnerPlanTests)

BOOST_DATA_TEST_CASE(AllDaemonsAgreeOnTwoOwnersInTwoFailureDomains,
                     boost::unit_test::data::make({ 2, 6, 100 }), daemons)
{
  std::map<PeerKey, std::uint64_t> domains;
  for (int index = 0; index < daemons; ++index) {
    domains[Daemon(index).Key()] = HashBytes(Daemon(index).failureDomain);
  }
  for (int client = 0; client < 20; ++client) {
    std::set<std::pair<PeerKey, PeerKey>> seen;
    for (int self = 0; self < daemons; ++self) {
      KeyOwnerPlan plan(Daemon(self), true, ViewOf(self, daemons));
      const KeyOwners& owners = plan.OwnersOf(Client(client));
      BOOST_REQUIRE(owners.primary && owners.backup);
      seen.emplace(owners.primary->key, owners.backup->key);
      BOOST_TEST(domains[owners.primary->key] != domains[owners.backup->key]);
    }
    BOOST_TEST(seen.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(KeysAreDistributedAndFewMoveWhenADaemonJoins)
{
  constexpr int kDaemons = 20;
  constexpr int kClients = 400;
  KeyOwnerPlan before(Daemon(0), true, ViewOf(0, kDaemons));
  KeyOwnerPlan after(Daemon(0), true, ViewOf(0, kDaemons + 1));
  std::map<PeerKey, int> counts;
  int moved = 0;
  for (int client = 0; client < kClients; ++client) {
    const PeerKey primary = before.OwnersOf(Client(client)).primary->key;
    ++counts[primary];
    moved += after.OwnersOf(Client(client)).primary->key == primary ? 0 : 1;
  }
  BOOST_TEST(counts.size() == static_cast<std::size_t>(kDaemons));
  BOOST_TEST(moved <= 3 * kClients / kDaemons);
}

BOOST_AUTO_TEST_CASE(LeavingDaemonsAndPeersKnownOnlyByAddressOwnNoKeys)
{
  PeerView view = ViewOf(0, 3);
  view.peers[0].state = PeerState::Leaving;
  view.peers[1].info.failureDomain.clear();
  KeyOwnerPlan plan(Daemon(0), true, view);
  BOOST_TEST(plan.OwnersOf(Client(0)).primary->key == Daemon(0).Key());
  BOOST_TEST(!plan.OwnersOf(Client(0)).backup.has_value());
  KeyOwnerPlan leaving(Daemon(0), false, view);
  BOOST_TEST(!leaving.OwnersOf(Client(0)).primary.has_value());
}

BOOST_AUTO_TEST_CASE(BackupIsInTheSameFailureDomainIfThereIsNoOther)
{
  PeerView view;
  const PeerInfo near = Daemon(kDomains);
  view.peers.push_back({ near, near.Key(), PeerState::Alive, 1 });
  KeyOwnerPlan plan(Daemon(0), true, view);
  BOOST_TEST(plan.OwnersOf(Client(0)).backup.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
