#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/PermitExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kEndpoint = "endpoint";

/// One daemon that sends requests to an endpoint with a limit.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , limits({}, aClock)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , permits({}, keyOwners, membership, limits, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) { this->keyOwners.OnPeers(*aView); });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  PermitReply Ask()
  {
    std::promise<PermitReply> reply;
    this->permits.RequestPermit(*this->limits.MakePermitRequest(kEndpoint),
                                [&reply](const PermitReply& aReply) { reply.set_value(aReply); });
    auto answered = reply.get_future();
    BOOST_TEST_REQUIRE((answered.wait_for(kAwaitTimeout) == std::future_status::ready));
    return answered.get();
  }

  MembershipService membership;
  EndpointLimits limits;
  KeyOwnerDirectory keyOwners;
  PermitExchange permits;
};

/// Daemons that know of an endpoint with a very low limit.
struct Fleet : LoopbackFleet<Daemon, 4>
{
  Fleet()
  {
    for (const auto& daemon : this->daemons) {
      daemon->limits.OnLimitAdvertised(kEndpoint, 0.5);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PermitExchangeTests, Fleet)

/// Guards against daemons that apply an endpoint's limit each on its own: eight daemons together exceeded it.
BOOST_AUTO_TEST_CASE(PermitsOfAllDaemonsStayWithinTheEndpointsLimit)
{
  const auto begun = this->clock.Now();
  int granted = 0;
  for (int round = 0; round < 20; ++round) {
    for (const auto& daemon : this->daemons) {
      granted += daemon->Ask().answer == PermitAnswer::Granted ? 1 : 0;
    }
  }
  const std::chrono::duration<double> took = this->clock.Now() - begun;
  BOOST_TEST(granted <= 1.5 * 0.5 * took.count() + 5);
}

BOOST_AUTO_TEST_CASE(LiftedLimitAtOneDaemonReachesAnother)
{
  // Ages are sent in whole milliseconds
  std::this_thread::sleep_for(Milliseconds(20));
  this->daemons[0]->limits.OnNoLimitAdvertised(kEndpoint);
  Await([this] { return this->daemons[2]->Ask().answer == PermitAnswer::Unlimited; });
}

BOOST_AUTO_TEST_CASE(BackupAnswersAfterThePrimaryStopped)
{
  const KeyOwners owners = this->OwnersOf(HashBytes(kEndpoint));
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  std::size_t asker = 0;
  while (asker == primary || asker == LoopbackIndexOf(owners.backup->key)) {
    ++asker;
  }
  this->daemons[primary]->membership.Stop();
  BOOST_TEST((this->daemons[asker]->Ask().answer != PermitAnswer::NotOwner));
}

BOOST_AUTO_TEST_SUITE_END()
