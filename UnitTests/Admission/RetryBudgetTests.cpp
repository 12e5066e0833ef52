#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(RetryBudgetTests)

BOOST_AUTO_TEST_CASE(SuccessesEarnRetries)
{
  VirtualClock clock;
  RetryBudgetSettings settings;
  settings.capacity = 1;
  RetryBudget budget(settings, clock);
  BOOST_TEST(budget.TryConsume());
  BOOST_TEST(!budget.TryConsume());
  for (int success = 0; success < 11; ++success) {
    budget.OnSuccess();
  }
  BOOST_TEST(budget.TryConsume());
}

/// Every endpoint fails and every caller would retry without end: the requests that reach the endpoints must stay a
/// small multiple of those that callers sent, for any number of daemons.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheDeploymentsBudgetIfAllRequestsFail)
{
  constexpr int kDaemons = 8;
  constexpr int kSeconds = 60;
  constexpr int kPerSecond = 50;
  VirtualClock clock;
  const RetryBudgetSettings settings;
  std::vector<std::unique_ptr<RetryBudget>> budgets;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    budgets.push_back(std::make_unique<RetryBudget>(settings, clock));
    budgets.back()->SetLiveDaemons(kDaemons);
  }
  int requests = 0;
  int retries = 0;
  for (int second = 0; second < kSeconds; ++second) {
    for (int request = 0; request < kPerSecond; ++request) {
      ++requests;
      for (int attempt = 0; attempt < 10 && budgets[request % kDaemons]->TryConsume(); ++attempt) {
        ++retries;
      }
    }
    clock.Advance(Seconds(1));
  }
  BOOST_TEST(retries <= settings.capacity + kSeconds * settings.perSecond);
  BOOST_TEST(retries < requests / 10);
}

BOOST_AUTO_TEST_SUITE_END()
