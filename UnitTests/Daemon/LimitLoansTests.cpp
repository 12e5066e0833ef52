#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/LimitLoans.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kAccount = "account";

constexpr int kDaemons = 3;

/// One daemon that borrows and lends tokens of one account's limit.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, PollNothing)
    , admission(Pooled(), aClock, static_cast<std::uint64_t>(aIndex))
    , keepers(LoopbackIdentity(aIndex).self, aClock)
    , loans({}, keepers, membership, admission, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keepers.OnPeers(*aView);
      this->loans.OnKeepers();
    });
    this->admission.SetDaemons(kDaemons);
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

  /// Borrows where the local tokens do not suffice, then asks the admission. @return whether the request is admitted
  bool Ask(double aTokens)
  {
    const AdmissionRequest request{ kAccount, 0, aTokens };
    if (const auto wanted = this->admission.WantedLoan(request)) {
      std::promise<void> settled;
      this->loans.Borrow(*wanted, [&settled] { settled.set_value(); });
      BOOST_TEST_REQUIRE((settled.get_future().wait_for(kPatience) == std::future_status::ready));
    }
    return this->admission.Admit(request).has_value();
  }

  MembershipService membership;
  Admission admission;
  KeeperDirectory keepers;
  LimitLoans loans;
};

/// Daemons that have full reserves.
struct Fleet : LoopbackFleet<Daemon, kDaemons>
{
  Fleet()
  {
    // A reserve fills while the daemons receive each other's reports
    for (int interval = 0; interval < 12; ++interval) {
      for (const auto& daemon : this->daemons) {
        static_cast<void>(daemon->admission.TakeDemand());
        daemon->admission.OnOthers({ 1, kDaemons - 1, {} });
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }

  [[nodiscard]] Keepers Owners() const { return this->KeepersOf(HashBytes(kAccount)); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitLoansTests, Fleet)

BOOST_AUTO_TEST_CASE(LargeRequestIsAdmittedWhereTheDaemonOwnsNoReserve)
{
  const Keepers owners = this->Owners();
  const std::size_t third =
    3 - LoopbackIndexOf(owners.primary->key) - LoopbackIndexOf(owners.backup->key);
  BOOST_TEST(this->daemons[third]->Ask(6000));
  // That emptied the primary reserve; the rest does not suffice, and the next request for a loan is delayed
  BOOST_TEST(!this->daemons[third]->Ask(9000));
  BOOST_TEST(!this->daemons[third]->admission.WantedLoan({ kAccount, 0, 9000 }).has_value());
}

BOOST_AUTO_TEST_CASE(BackupLendsAfterThePrimaryStopped)
{
  const Keepers owners = this->Owners();
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  const std::size_t third = 3 - primary - LoopbackIndexOf(owners.backup->key);
  this->daemons[primary]->membership.Stop();
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(this->daemons[third]->Ask(1500));
  BOOST_TEST((std::chrono::steady_clock::now() - begun < Seconds(2)));
}

BOOST_AUTO_TEST_CASE(DrainingDaemonLendsNothing)
{
  const Keepers owners = this->Owners();
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  this->daemons[primary]->keepers.Drain();
  this->daemons[primary]->loans.OnKeepers();
  BOOST_TEST(this->daemons[primary]->admission.Lend({ HashBytes(kAccount), 100, 100, {} }).tokens ==
             0);
}

BOOST_AUTO_TEST_CASE(UnknownClientGetsNoLoan)
{
  const Loan loan = this->daemons[0]->admission.Lend({ 12345, 100, 100, {} });
  BOOST_TEST(loan.tokens == 0);
  BOOST_TEST(loan.wait == 0);
}

BOOST_AUTO_TEST_SUITE_END()
