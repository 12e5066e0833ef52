#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/CrashExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kRequest = 4711;

/// One daemon that sees endpoints crash.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, PollNothing)
    , guard({}, aClock)
    , keepers(LoopbackIdentity(aIndex).self, aClock)
    , crashes({}, keepers, membership, guard, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keepers.OnPeers(*aView);
      this->crashes.OnKeepers();
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  MembershipService membership;
  PoisonGuard guard;
  KeeperDirectory keepers;
  CrashExchange crashes;
};

struct Fleet : LoopbackFleet<Daemon, 4>
{
  /// An endpoint crashes at a daemon, in a failure domain of its own.
  void Crash(std::size_t aDaemon, std::uint64_t aEndpoint)
  {
    this->daemons[aDaemon]->guard.OnCrash({ kRequest, aEndpoint, aEndpoint, 0, 0 });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashExchangeTests, Fleet)

/// Seen: eight daemons each judged by what they had seen themselves, so that a request crashed endpoints at each.
BOOST_AUTO_TEST_CASE(CrashesAtThreeDaemonsConvictAtBothKeepers)
{
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    this->Crash(daemon, daemon + 1);
  }
  const Keepers keepers = this->KeepersOf(kRequest);
  for (const auto& keeper : { keepers.primary, keepers.backup }) {
    Await([&] { return this->daemons[LoopbackIndexOf(keeper->key)]->guard.IsPoisoned(kRequest); });
  }
}

/// The keepers' memory goes with them; those who saw the crashes tell them anew.
BOOST_AUTO_TEST_CASE(WhoKeepsTheRequestNextIsToldWhatWasSeen)
{
  const Keepers keepers = this->KeepersOf(kRequest);
  const std::size_t primary = LoopbackIndexOf(keepers.primary->key);
  const std::size_t backup = LoopbackIndexOf(keepers.backup->key);
  std::vector<std::size_t> others;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (index != primary && index != backup) {
      others.push_back(index);
    }
  }
  this->Crash(others[0], 1);
  this->Crash(others[1], 2);
  Await([&] { return this->daemons[primary]->guard.IsSuspect(kRequest); });
  this->daemons[primary]->membership.Stop();
  this->daemons[backup]->membership.Stop();
  // The two that are left are the keepers now, each of what the other saw, too
  for (const std::size_t index : others) {
    Await([&] { return this->daemons[index]->guard.IsSuspect(kRequest); });
  }
}

BOOST_AUTO_TEST_SUITE_END()
