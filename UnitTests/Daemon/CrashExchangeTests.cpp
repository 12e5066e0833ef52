#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/CrashExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kRequest = 4711;

/// One daemon that observes crashes of endpoints.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , poisonFilter({}, aClock)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , crashExchange({}, keyOwners, membership, poisonFilter, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->crashExchange.OnKeyOwnersChanged();
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  MembershipService membership;
  PoisonRequestFilter poisonFilter;
  KeyOwnerDirectory keyOwners;
  CrashExchange crashExchange;
};

struct Fleet : LoopbackFleet<Daemon, 4>
{
  /// An endpoint crashes at a daemon, in a failure domain of its own.
  void Crash(std::size_t aDaemon, std::uint64_t aEndpoint)
  {
    this->daemons[aDaemon]->poisonFilter.OnCrash({ kRequest, aEndpoint, aEndpoint, 0, 0 });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashExchangeTests, Fleet)

/// Guards against daemons that judge a request by their own crashes only: with eight such daemons it crashed endpoints
/// at each of them.
BOOST_AUTO_TEST_CASE(CrashesAtThreeDaemonsPoisonTheRequestAtBothOwners)
{
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    this->Crash(daemon, daemon + 1);
  }
  const KeyOwners owners = this->OwnersOf(kRequest);
  for (const auto& owner : { owners.primary, owners.backup }) {
    Await([&] {
      return this->daemons[LoopbackIndexOf(owner->key)]->poisonFilter.IsPoisoned(kRequest);
    });
  }
}

/// Owners that stop lose the reports; the daemons that observed the crashes send them again to the new owners.
BOOST_AUTO_TEST_CASE(NewOwnersReceiveCrashesObservedEarlier)
{
  const KeyOwners owners = this->OwnersOf(kRequest);
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  const std::size_t backup = LoopbackIndexOf(owners.backup->key);
  std::vector<std::size_t> others;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (index != primary && index != backup) {
      others.push_back(index);
    }
  }
  this->Crash(others[0], 1);
  this->Crash(others[1], 2);
  Await([&] { return this->daemons[primary]->poisonFilter.IsSuspect(kRequest); });
  this->daemons[primary]->membership.Stop();
  this->daemons[backup]->membership.Stop();
  // The remaining two are the owners now, and each has received the other's crash
  for (const std::size_t index : others) {
    Await([&] { return this->daemons[index]->poisonFilter.IsSuspect(kRequest); });
  }
}

BOOST_AUTO_TEST_SUITE_END()
