#pragma once

#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Membership/KeyOwnerPlan.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

namespace lagoonward::testing {

/// Timeout of Await().
inline constexpr Seconds kAwaitTimeout{ 20 };

/// Polls a condition every 10 ms until it holds; fails the test after the timeout. It is not evaluated again once it holds,
/// as that may use up what it waits for.
template<typename Condition>
void
Await(Condition aCondition)
{
  bool holds = aCondition();
  for (Milliseconds waited{ 0 }; waited < kAwaitTimeout && !holds; waited += Milliseconds(10)) {
    std::this_thread::sleep_for(Milliseconds(10));
    holds = aCondition();
  }
  BOOST_TEST_REQUIRE(holds);
}

/// Identity of a daemon on loopback, in its own failure domain.
inline MembershipIdentity
LoopbackIdentity(int aIndex)
{
  MembershipIdentity identity;
  const std::string number = std::to_string(aIndex);
  identity.self = { "daemon-" + number, "127.0.0.1", 0, "domain-" + number, "region" };
  identity.session = static_cast<std::uint64_t>(aIndex) + 1;
  return identity;
}

/// The key ring that these daemons share.
inline KeyRing
LoopbackKeys()
{
  return KeyRing::Parse("1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
                        "test")
    .value();
}

/// Poll callback that sends no poll and never reports a result.
inline void
IgnorePoll(const HostEntry& /*aEndpoint*/, const MembershipService::PollDone& /*aDone*/)
{
}

/// Gives started daemons, in the order of their indices, a host list with all of them and waits until each has all
/// others as peers.
inline void
ConnectAsPeers(const std::vector<MembershipService*>& aDaemons)
{
  std::vector<HostEntry> hosts;
  for (MembershipService* daemon : aDaemons) {
    const PeerInfo self = LoopbackIdentity(static_cast<int>(hosts.size())).self;
    hosts.push_back({ self.id, HostEntry::Kind::Daemon, self.address, daemon->Transport().Port(),
                      self.failureDomain, self.region, "small", "", false });
  }
  for (MembershipService* daemon : aDaemons) {
    daemon->ApplyHostList(hosts);
  }
  Await([&] {
    return std::all_of(aDaemons.begin(), aDaemons.end(), [&](MembershipService* aEach) {
      return aEach->Peers()->peers.size() == aDaemons.size() - 1;
    });
  });
}

/// The index of the daemon whose LoopbackIdentity() has this key.
inline std::size_t
LoopbackIndexOf(PeerKey aKey)
{
  int index = 0;
  while (LoopbackIdentity(index).self.Key() != aKey) {
    ++index;
  }
  return static_cast<std::size_t>(index);
}

/// Daemons on loopback that are peers of each other. `Daemon` is constructed from a clock and an index, and has a
/// member `membership`.
template<typename Daemon, int Count>
struct LoopbackFleet
{
  static constexpr int kDaemons = Count;

  LoopbackFleet()
  {
    std::vector<MembershipService*> memberships;
    for (int index = 0; index < kDaemons; ++index) {
      this->daemons.push_back(std::make_unique<Daemon>(this->clock, index));
      memberships.push_back(&this->daemons.back()->membership);
    }
    ConnectAsPeers(memberships);
  }

  ~LoopbackFleet()
  {
    for (const auto& daemon : this->daemons) {
      daemon->membership.Stop();
    }
  }

  LoopbackFleet(const LoopbackFleet&) = delete;
  LoopbackFleet& operator=(const LoopbackFleet&) = delete;

  /// The owners of a key according to the peers of the first daemon.
  [[nodiscard]] KeyOwners OwnersOf(std::uint64_t aKey) const
  {
    KeyOwnerPlan plan(LoopbackIdentity(0).self, true, *this->daemons[0]->membership.Peers());
    return plan.OwnersOf(aKey);
  }

  SystemClock clock;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

} // namespace lagoonward::testing
