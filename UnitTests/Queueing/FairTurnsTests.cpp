#include "Lagoonward/Queueing/FairTurns.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr std::size_t kMaximumAccounts = 4;

} // namespace

BOOST_AUTO_TEST_SUITE(FairTurnsTests)

/// Guards against an account that sends many requests being served before one that sends few.
BOOST_AUTO_TEST_CASE(RequestsOfABusyAccountComeAfterTheFirstOfAnother)
{
  FairTurns turns(kMaximumAccounts);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 0);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 1);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 2);
  BOOST_TEST(turns.OnArrived(2, 1, 1) == 0);
}

/// Guards against weights that are ignored or inverted.
BOOST_AUTO_TEST_CASE(AnAccountOfTwiceTheWeightGetsTurnsTwiceAsOften)
{
  FairTurns turns(kMaximumAccounts);
  (void)turns.OnArrived(1, 1, 2);
  (void)turns.OnArrived(2, 1, 1);
  BOOST_TEST(turns.OnArrived(1, 1, 2) == 0.5);
  BOOST_TEST(turns.OnArrived(2, 1, 1) == 1);
}

/// Guards against requests that count alike although one takes more work.
BOOST_AUTO_TEST_CASE(LargeRequestsUseMoreOfTheShare)
{
  FairTurns turns(kMaximumAccounts);
  (void)turns.OnArrived(1, 5, 1);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 5);
}

/// Guards against an account that saves up turns while it sends nothing and then holds up all others.
BOOST_AUTO_TEST_CASE(AnIdleAccountSavesNoTurns)
{
  FairTurns turns(kMaximumAccounts);
  (void)turns.OnArrived(1, 1, 1);
  turns.OnServed(50);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 50);
  BOOST_TEST(turns.OnArrived(2, 1, 1) == 50);
}

/// Guards against refused requests that count as served, which would put their account last.
BOOST_AUTO_TEST_CASE(ARequestThatLeftGivesItsTurnBack)
{
  FairTurns turns(kMaximumAccounts);
  (void)turns.OnArrived(1, 2, 1);
  turns.OnLeft(1, 2, 1);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 0);
}

/// Guards against virtual time that runs backwards where an older tag is served late.
BOOST_AUTO_TEST_CASE(AnOlderTagServedLaterDoesNotTurnBackTheOrder)
{
  FairTurns turns(kMaximumAccounts);
  turns.OnServed(7);
  turns.OnServed(3);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 7);
}

/// Guards against memory that grows with the number of accounts, and against forgetting accounts that are ahead.
BOOST_AUTO_TEST_CASE(IdleAccountsAreForgottenWhenThereAreTooMany)
{
  FairTurns turns(kMaximumAccounts);
  for (std::uint64_t account = 1; account <= kMaximumAccounts; ++account) {
    (void)turns.OnArrived(account, account == 1 ? 100 : 1, 1);
  }
  turns.OnServed(10);
  for (std::uint64_t account = 5; account <= 100; ++account) {
    BOOST_TEST(turns.OnArrived(account, 1, 1) == 10);
  }
  BOOST_TEST(turns.Accounts() <= kMaximumAccounts);
  BOOST_TEST(turns.OnArrived(1, 1, 1) == 100);
}

BOOST_AUTO_TEST_SUITE_END()
