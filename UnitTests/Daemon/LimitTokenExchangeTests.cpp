#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/LimitTokenExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kAccount = "account";

constexpr int kDaemons = 3;

/// One daemon that requests and grants tokens of one account's limit.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , admission(Pooled(), aClock, static_cast<std::uint64_t>(aIndex))
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , exchange({}, keyOwners, membership, admission, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->exchange.OnKeyOwnersChanged();
    });
    this->admission.SetDaemonCount(kDaemons);
    Manifest manifest;
    ManifestClient client;
    client.name = kAccount;
    client.tokensPerSecond = 10'000;
    client.burstTokens = 10'000;
    manifest.clients.push_back(client);
    this->admission.Configure(manifest);
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  static AdmissionSettings Pooled()
  {
    AdmissionSettings settings;
    settings.pooled = true;
    return settings;
  }

  /// Requests tokens where the local tokens do not suffice, then asks the admission. @return whether the request is
  /// admitted
  bool Ask(double aTokens)
  {
    const AdmissionRequest request{ kAccount, 0, aTokens };
    if (const auto wanted = this->admission.MakeTokenRequest(request)) {
      std::promise<void> settled;
      this->exchange.RequestTokens(*wanted, [&settled] { settled.set_value(); });
      BOOST_TEST_REQUIRE(
        (settled.get_future().wait_for(kAwaitTimeout) == std::future_status::ready));
    }
    return this->admission.Admit(request).has_value();
  }

  MembershipService membership;
  Admission admission;
  KeyOwnerDirectory keyOwners;
  LimitTokenExchange exchange;
};

/// Daemons that have full reserves.
struct Fleet : LoopbackFleet<Daemon, kDaemons>
{
  Fleet()
  {
    // A reserve fills while the daemons receive each other's reports
    for (int interval = 0; interval < 12; ++interval) {
      for (const auto& daemon : this->daemons) {
        static_cast<void>(daemon->admission.CollectDemand());
        daemon->admission.OnAggregatedDemand({ 1, kDaemons - 1, {} });
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }

  [[nodiscard]] KeyOwners Owners() const { return this->OwnersOf(HashBytes(kAccount)); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitTokenExchangeTests, Fleet)

BOOST_AUTO_TEST_CASE(LargeRequestIsAdmittedWhereTheDaemonOwnsNoReserve)
{
  const KeyOwners owners = this->Owners();
  const std::size_t third =
    3 - LoopbackIndexOf(owners.primary->key) - LoopbackIndexOf(owners.backup->key);
  BOOST_TEST(this->daemons[third]->Ask(6000));
  // That emptied the primary reserve; the rest does not suffice, and the next token request is delayed
  BOOST_TEST(!this->daemons[third]->Ask(9000));
  BOOST_TEST(!this->daemons[third]->admission.MakeTokenRequest({ kAccount, 0, 9000 }).has_value());
}

BOOST_AUTO_TEST_CASE(BackupGrantsAfterThePrimaryStopped)
{
  const KeyOwners owners = this->Owners();
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  const std::size_t third = 3 - primary - LoopbackIndexOf(owners.backup->key);
  this->daemons[primary]->membership.Stop();
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(this->daemons[third]->Ask(1500));
  BOOST_TEST((std::chrono::steady_clock::now() - begun < Seconds(2)));
}

BOOST_AUTO_TEST_CASE(DrainingDaemonGrantsNothing)
{
  const KeyOwners owners = this->Owners();
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  this->daemons[primary]->keyOwners.Drain();
  this->daemons[primary]->exchange.OnKeyOwnersChanged();
  BOOST_TEST(
    this->daemons[primary]->admission.GrantTokens({ HashBytes(kAccount), 100, 100, {} }).tokens ==
    0);
}

BOOST_AUTO_TEST_CASE(UnknownClientGetsNoGrant)
{
  const LimitTokenGrant grant = this->daemons[0]->admission.GrantTokens({ 12345, 100, 100, {} });
  BOOST_TEST(grant.tokens == 0);
  BOOST_TEST(grant.retryAfterSeconds == 0);
}

BOOST_AUTO_TEST_SUITE_END()
