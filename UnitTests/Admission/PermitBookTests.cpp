#include "Lagoonward/Admission/PermitBook.h"
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

/// What is borne in some four seconds, after the users' statement: one and a half times the limit, and five.
double
Borne(double aPerSecond)
{
  return 1.5 * aPerSecond * 4 + 5;
}

/// Daemons that all have more to send to one endpoint than it takes, and its keepers.
class Fleet
{
public:
  Fleet(int aDaemons, double aPerSecond)
    : daemons(aDaemons)
    , perSecond(aPerSecond)
    , nextAsk(static_cast<std::size_t>(aDaemons), this->clock.Now())
  {
    for (int index = 0; index < aDaemons; ++index) {
      this->books.push_back(std::make_unique<PermitBook>(PermitSettings{}, this->clock));
    }
  }

  /// Plays on. Each daemon asks the primary that it believes in, and the backup where that one has none.
  void Play(Milliseconds aSpan)
  {
    for (Milliseconds played{ 0 }; played < aSpan; played += kStep) {
      for (int daemon = 0; daemon < this->daemons; ++daemon) {
        this->AskFor(daemon);
      }
      this->clock.Advance(kStep);
    }
  }

  [[nodiscard]] double PerSecondSent(TimePoint aSince) const
  {
    const auto count = std::count_if(this->sent.begin(), this->sent.end(),
                                     [&](TimePoint aEach) { return aEach >= aSince; });
    const std::chrono::duration<double> span = this->clock.Now() - aSince;
    return static_cast<double>(count) / span.count();
  }

  VirtualClock clock;
  int primary = 0;
  int backup = 1;
  int oldPrimary = -1;   ///< In which some of the daemons still believe.
  bool isSilent = false; ///< The primary answers nobody.
  bool isSettled = true; ///< Whether the daemons have been the same for a while.
  double overshare = 0;  ///< Most of what is borne within any window.

private:
  void AskFor(int aDaemon)
  {
    const auto index = static_cast<std::size_t>(aDaemon);
    if (this->clock.Now() < this->nextAsk[index]) {
      return;
    }
    const bool isLate = this->oldPrimary >= 0 && aDaemon % 2 == 0;
    const int asked = isLate ? this->oldPrimary : this->primary;
    PermitReply reply;
    if (!this->isSilent || asked != this->primary) {
      // The one before takes itself for the primary as long as it has the older picture
      reply = this->Ask(asked, ReserveRole::Primary);
    }
    if (reply.answer != PermitAnswer::Granted) {
      const PermitReply other = this->Ask(this->backup, ReserveRole::Backup);
      const bool isBetter =
        other.answer == PermitAnswer::Granted || reply.answer == PermitAnswer::NotKeeper;
      reply = isBetter ? other : reply;
    }
    if (reply.answer == PermitAnswer::Granted) {
      this->Note();
    } else {
      this->nextAsk[index] = this->clock.Now() + Milliseconds(std::max(reply.wait, 1U));
    }
  }

  PermitReply Ask(int aKeeper, ReserveRole aRole)
  {
    PermitRequest request;
    request.endpoint = kEndpoint;
    request.perSecond = this->perSecond;
    return this->books[static_cast<std::size_t>(aKeeper)]->Serve(request, aRole, this->isSettled);
  }

  void Note()
  {
    this->sent.push_back(this->clock.Now());
    const auto within = std::count_if(this->sent.begin(), this->sent.end(), [&](TimePoint aEach) {
      return this->clock.Now() - aEach < kWindow;
    });
    this->overshare =
      std::max(this->overshare, static_cast<double>(within) / Borne(this->perSecond));
  }

  int daemons;
  double perSecond;
  std::vector<TimePoint> nextAsk;
  std::vector<std::unique_ptr<PermitBook>> books;
  std::deque<TimePoint> sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermitBookTests)

/// Load pattern: every daemon has more to send to one endpoint than it takes. Grounds: what it gets has the stated bound
/// whatever the number of daemons, and what it takes is not wasted.
BOOST_DATA_TEST_CASE(AllDaemonsTogetherKeepTheLimitAndUseIt,
                     boost::unit_test::data::make({ 2, 8, 40, 300, 600 }) *
                       boost::unit_test::data::make({ 0.4, 1.4, 12.0 }),
                     daemons, perSecond)
{
  Fleet fleet(daemons, perSecond);
  fleet.Play(Seconds(2));
  const TimePoint begun = fleet.clock.Now();
  fleet.Play(Seconds(30));
  BOOST_TEST(fleet.overshare <= 1);
  BOOST_TEST(fleet.PerSecondSent(begun) >= 0.9 * perSecond);
}

/// The primary changes while half of the daemons believe in the one before for some seconds.
BOOST_DATA_TEST_CASE(AKeeperThatTakesOverKeepsTheLimit,
                     boost::unit_test::data::make({ 4, 40, 300 }) *
                       boost::unit_test::data::make({ 0.4, 1.4, 12.0 }),
                     daemons, perSecond)
{
  Fleet fleet(daemons, perSecond);
  fleet.Play(Seconds(10));
  fleet.isSettled = false;
  fleet.oldPrimary = fleet.primary;
  fleet.primary = 2;
  fleet.Play(Seconds(4));
  fleet.oldPrimary = -1;
  fleet.Play(Seconds(4));
  // The backup becomes the primary, too
  fleet.primary = fleet.backup;
  fleet.backup = 3;
  fleet.Play(Seconds(20));
  BOOST_TEST(fleet.overshare <= 1);
}

BOOST_DATA_TEST_CASE(WhereThePrimaryIsSilentTheBackupGivesSome,
                     boost::unit_test::data::make({ 1.4, 12.0 }), perSecond)
{
  Fleet fleet(40, perSecond);
  fleet.Play(Seconds(5));
  fleet.isSilent = true;
  const TimePoint begun = fleet.clock.Now();
  fleet.Play(Seconds(20));
  BOOST_TEST(fleet.overshare <= 1);
  BOOST_TEST(fleet.PerSecondSent(begun) >= 0.15 * perSecond);
}

BOOST_AUTO_TEST_CASE(AnEndpointThatTakesNoneIsStillAskedNowAndThen)
{
  Fleet fleet(8, 0);
  fleet.Play(Seconds(30));
  BOOST_TEST(fleet.overshare <= 1);
  BOOST_TEST(fleet.PerSecondSent(fleet.clock.Now() - Seconds(20)) > 0.1);
}

BOOST_AUTO_TEST_CASE(TheNewestAnswerHolds)
{
  VirtualClock clock;
  PermitBook book({}, clock);
  clock.Advance(Seconds(100));
  const auto ask = [&](PermitRequest aRequest) {
    aRequest.endpoint = kEndpoint;
    return book.Serve(aRequest, ReserveRole::Primary, true).answer;
  };
  BOOST_TEST((ask({ .perSecond = 1, .age = 100 }) == PermitAnswer::Granted));
  // Some daemon has since had an answer without a limit
  static_cast<void>(ask({ .isLimited = false, .age = 50, .wants = false }));
  BOOST_TEST((ask({ .perSecond = 1, .age = 2000 }) == PermitAnswer::Unlimited));
  // And another one with a limit again
  BOOST_TEST((ask({ .perSecond = 1, .age = 0 }) == PermitAnswer::Granted));
  BOOST_TEST((ask({ .perSecond = 1, .age = 0 }) == PermitAnswer::Wait));
}

BOOST_AUTO_TEST_CASE(WhoKeepsNothingAndWhatIsImplausibleChangeNothing)
{
  VirtualClock clock;
  PermitBook book({}, clock);
  PermitRequest request;
  request.endpoint = kEndpoint;
  request.perSecond = 1;
  BOOST_TEST((book.Serve(request, ReserveRole::None, true).answer == PermitAnswer::NotKeeper));
  for (const double perSecond : { -1.0, std::numeric_limits<double>::infinity(),
                                  std::numeric_limits<double>::quiet_NaN() }) {
    request.perSecond = perSecond;
    BOOST_TEST((book.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::NotKeeper));
  }
  request.perSecond = 1;
  request.age = -1;
  BOOST_TEST((book.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::NotKeeper));
  // What was heard long ago still counts, or nobody would ever be permitted again
  request.age = std::numeric_limits<std::int64_t>::max();
  BOOST_TEST((book.Serve(request, ReserveRole::Primary, true).answer == PermitAnswer::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
