#include "Lagoonward/Admission/PermitLedger.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <memory>
#include <random>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kEndpoint = 5;
constexpr Milliseconds kStep{ 10 };
constexpr Seconds kWindow{ 4 };

/// Requests that an endpoint may receive in a window of four seconds, as stated by the users: one and a half times the
/// limit, plus five.
double
AllowedInWindow(double aPerSecond)
{
  return 1.5 * aPerSecond * 4 + 5;
}

/// Daemons that all have more requests for one endpoint than its limit allows, and the owners of the endpoint.
class Fleet
{
public:
  Fleet(int aDaemons, double aPerSecond)
    : daemons(aDaemons)
    , perSecond(aPerSecond)
    , nextRequestAt(static_cast<std::size_t>(aDaemons), this->clock.Now())
  {
    for (int index = 0; index < aDaemons; ++index) {
      this->ledgers.push_back(std::make_unique<PermitLedger>(PermitSettings{}, this->clock));
    }
  }

  /// Runs the simulation. Each daemon requests permits from the primary in its list of daemons, and from the backup if
  /// the primary grants none.
  void Run(Milliseconds aDuration)
  {
    for (Milliseconds elapsed{ 0 }; elapsed < aDuration; elapsed += kStep) {
      for (int daemon = 0; daemon < this->daemons; ++daemon) {
        this->SendIfPermitted(daemon);
      }
      this->clock.Advance(kStep);
    }
  }

  [[nodiscard]] double PerSecondSent(TimePoint aSince) const
  {
    const auto count = std::count_if(this->sent.begin(), this->sent.end(),
                                     [&](TimePoint aEach) { return aEach >= aSince; });
    const std::chrono::duration<double> elapsed = this->clock.Now() - aSince;
    return static_cast<double>(count) / elapsed.count();
  }

  VirtualClock clock;
  int primary = 0;
  int backup = 1;
  int previousPrimary = -1;           ///< Still the primary in the lists of half of the daemons.
  bool isPrimaryUnresponsive = false; ///< The primary does not reply.
  bool isStable = true;               ///< Passed to PermitLedger::Serve().
  double highestLoad = 0;             ///< Requests in any window, relative to AllowedInWindow().

private:
  void SendIfPermitted(int aDaemon)
  {
    const auto index = static_cast<std::size_t>(aDaemon);
    if (this->clock.Now() < this->nextRequestAt[index]) {
      return;
    }
    const bool isOutdated = this->previousPrimary >= 0 && aDaemon % 2 == 0;
    const int owner = isOutdated ? this->previousPrimary : this->primary;
    PermitReply reply;
    if (!this->isPrimaryUnresponsive || owner != this->primary) {
      // The previous primary considers itself the primary as long as it has the outdated list of daemons
      reply = this->RequestPermit(owner, ReserveRole::Primary);
    }
    if (reply.answer != PermitAnswer::Granted) {
      const PermitReply backupReply = this->RequestPermit(this->backup, ReserveRole::Backup);
      const bool isBackupReplyUsed =
        backupReply.answer == PermitAnswer::Granted || reply.answer == PermitAnswer::NotOwner;
      reply = isBackupReplyUsed ? backupReply : reply;
    }
    if (reply.answer == PermitAnswer::Granted) {
      this->RecordSend();
    } else {
      this->nextRequestAt[index] =
        this->clock.Now() + Milliseconds(std::max(reply.retryAfterMs, 1U));
    }
  }

  PermitReply RequestPermit(int aOwner, ReserveRole aRole)
  {
    PermitRequest request;
    request.endpoint = kEndpoint;
    request.perSecond = this->perSecond;
    return this->ledgers[static_cast<std::size_t>(aOwner)]->Serve(request, aRole, this->isStable);
  }

  void RecordSend()
  {
    this->sent.push_back(this->clock.Now());
    const auto sentInWindow =
      std::count_if(this->sent.begin(), this->sent.end(),
                    [&](TimePoint aEach) { return this->clock.Now() - aEach < kWindow; });
    this->highestLoad = std::max(this->highestLoad, static_cast<double>(sentInWindow) /
                                                      AllowedInWindow(this->perSecond));
  }

  int daemons;
  double perSecond;
  std::vector<TimePoint> nextRequestAt;
  std::vector<std::unique_ptr<PermitLedger>> ledgers;
  std::deque<TimePoint> sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermitLedgerTests)

/// Every daemon has more requests for one endpoint than its limit allows. The requests sent must stay within the stated
/// bound for any number of daemons, and must use the limit.
BOOST_DATA_TEST_CASE(AllDaemonsTogetherStayWithinTheLimitAndUseIt,
                     boost::unit_test::data::make({ 2, 8, 40, 300, 600 }) *
                       boost::unit_test::data::make({ 0.4, 1.4, 12.0 }),
                     daemons, perSecond)
{
  Fleet fleet(daemons, perSecond);
  fleet.Run(Seconds(2));
  const TimePoint startedAt = fleet.clock.Now();
  fleet.Run(Seconds(30));
  BOOST_TEST(fleet.highestLoad <= 1);
  BOOST_TEST(fleet.PerSecondSent(startedAt) >= 0.9 * perSecond);
}

/// The primary changes, and half of the daemons still use the previous one for some seconds.
BOOST_DATA_TEST_CASE(LimitHoldsWhileThePrimaryOwnerChanges,
                     boost::unit_test::data::make({ 4, 40, 300 }) *
                       boost::unit_test::data::make({ 0.4, 1.4, 12.0 }),
                     daemons, perSecond)
{
  Fleet fleet(daemons, perSecond);
  fleet.Run(Seconds(10));
  fleet.isStable = false;
  fleet.previousPrimary = fleet.primary;
  fleet.primary = 2;
  fleet.Run(Seconds(4));
  fleet.previousPrimary = -1;
  fleet.Run(Seconds(4));
  // Then the backup becomes the primary
  fleet.primary = fleet.backup;
  fleet.backup = 3;
  fleet.Run(Seconds(20));
  BOOST_TEST(fleet.highestLoad <= 1);
}

BOOST_DATA_TEST_CASE(BackupGrantsPermitsIfThePrimaryDoesNotReply,
                     boost::unit_test::data::make({ 1.4, 12.0 }), perSecond)
{
  Fleet fleet(40, perSecond);
  fleet.Run(Seconds(5));
  fleet.isPrimaryUnresponsive = true;
  const TimePoint startedAt = fleet.clock.Now();
  fleet.Run(Seconds(20));
  BOOST_TEST(fleet.highestLoad <= 1);
  BOOST_TEST(fleet.PerSecondSent(startedAt) >= 0.15 * perSecond);
}

BOOST_AUTO_TEST_CASE(EndpointWithAZeroLimitGetsRequestsAtTheLowestRate)
{
  Fleet fleet(8, 0);
  fleet.Run(Seconds(30));
  BOOST_TEST(fleet.highestLoad <= 1);
  BOOST_TEST(fleet.PerSecondSent(fleet.clock.Now() - Seconds(20)) > 0.1);
}

BOOST_AUTO_TEST_CASE(NewestAnswerDeterminesTheLimit)
{
  VirtualClock clock;
  PermitLedger ledger({}, clock);
  clock.Advance(Seconds(100));
  const auto serve = [&](PermitRequest aRequest) {
    aRequest.endpoint = kEndpoint;
    return ledger.Serve(aRequest, ReserveRole::Primary, true).answer;
  };
  BOOST_TEST((serve({ .perSecond = 1, .age = 100 }) == PermitAnswer::Granted));
  // Another daemon has received a newer answer without a limit
  static_cast<void>(serve({ .isLimited = false, .age = 50, .wantsPermit = false }));
  BOOST_TEST((serve({ .perSecond = 1, .age = 2000 }) == PermitAnswer::Unlimited));
  // A still newer answer has a limit again
  BOOST_TEST((serve({ .perSecond = 1, .age = 0 }) == PermitAnswer::Granted));
  BOOST_TEST((serve({ .perSecond = 1, .age = 0 }) == PermitAnswer::Wait));
}

BOOST_AUTO_TEST_CASE(RequestsToANonOwnerAndImplausibleRequestsAreRejected)
{
  VirtualClock clock;
  PermitLedger ledger({}, clock);
  PermitRequest request;
  request.endpoint = kEndpoint;
  request.perSecond = 1;
  BOOST_TEST((ledger.Serve(request, ReserveRole::None, true).answer == PermitAnswer::NotOwner));
  for (const double perSecond : { -1.0, std::numeric_limits<double>::infinity(),
                                  std::numeric_limits<double>::quiet_NaN() }) {
    request.perSecond = perSecond;
    BOOST_TEST(
      (ledger.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::NotOwner));
  }
  request.perSecond = 1;
  request.age = -1;
  BOOST_TEST((ledger.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::NotOwner));
  // An old limit still applies; otherwise no permit would be granted again
  request.age = std::numeric_limits<std::int64_t>::max();
  BOOST_TEST((ledger.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
