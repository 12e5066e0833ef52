#include "Lagoonward/Relay/SlotSearch.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace lagoonward;

namespace {

/// Pools with keys from 1.
class SearchFixture
{
public:
  explicit SearchFixture(const std::vector<int>& aSlots)
  {
    for (const int slots : aSlots) {
      QueuePool pool;
      pool.key = this->owned.size() + 1;
      pool.slots = slots;
      this->owned.push_back(pool);
    }
    for (const QueuePool& pool : this->owned) {
      this->pools.push_back(&pool);
    }
  }

  [[nodiscard]] SlotSearch::Step Next(std::uint64_t aRandom = 0)
  {
    const auto step = this->search.Next(this->pools, aRandom);
    BOOST_REQUIRE(step.has_value());
    return *step;
  }

  [[nodiscard]] bool IsOver() { return !this->search.Next(this->pools, 0).has_value(); }

  void Refuse(std::uint32_t aExpectedWaitMs, std::uint32_t aRetryAfterMs = 1000)
  {
    SlotReply reply{ SlotAnswer::Refused };
    reply.expectedWaitMs = aExpectedWaitMs;
    reply.retryAfterMs = aRetryAfterMs;
    this->search.OnRefused(reply);
  }

  std::vector<QueuePool> owned;
  std::vector<const QueuePool*> pools;
  SlotSearch search;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotSearchTests)

/// Guards against a second message where there is nothing to compare with.
BOOST_AUTO_TEST_CASE(InTheOnlyPoolARequestWaitsAtOnce)
{
  SearchFixture fixture({ 4 });
  const auto step = fixture.Next();
  BOOST_TEST(step.pool == 1);
  BOOST_TEST(step.mayWait);
  fixture.Refuse(500);
  BOOST_TEST(fixture.IsOver());
}

/// Guards against a request that waits in a pool while another has a free slot, or in the longer queue of two.
BOOST_AUTO_TEST_CASE(TwoPoolsAreAskedForAFreeSlotBeforeTheRequestWaitsAtTheShorterQueue)
{
  SearchFixture fixture({ 4, 4, 4, 4 });
  const auto first = fixture.Next(0);
  BOOST_TEST(!first.mayWait);
  fixture.Refuse(900);
  const auto second = fixture.Next(0);
  BOOST_TEST(!second.mayWait);
  BOOST_TEST(second.pool != first.pool);
  fixture.Refuse(300);
  const auto third = fixture.Next(0);
  BOOST_TEST(third.pool == second.pool);
  BOOST_TEST(third.mayWait);
  fixture.Refuse(2000);
  const auto fourth = fixture.Next(0);
  BOOST_TEST(fourth.pool == first.pool);
  BOOST_TEST(fourth.mayWait);
  fixture.Refuse(2000);
  BOOST_TEST(fixture.IsOver());
}

/// Guards against small pools that get as many requests as large ones.
BOOST_AUTO_TEST_CASE(PoolsAreDrawnByTheirSlots)
{
  std::map<std::uint64_t, int> drawn;
  for (std::uint64_t random = 0; random < 1000; ++random) {
    SearchFixture fixture({ 1, 4, 5 });
    ++drawn[fixture.Next(random).pool];
  }
  BOOST_TEST(drawn[1] == 100);
  BOOST_TEST(drawn[2] == 400);
  BOOST_TEST(drawn[3] == 500);
}

/// Guards against a crash or an endless search without pools.
BOOST_AUTO_TEST_CASE(WithoutPoolsThereIsNoStep)
{
  SearchFixture fixture({});
  BOOST_TEST(fixture.IsOver());
}

/// Guards against a request that is refused although new pools could serve it: those that refused it are gone.
BOOST_AUTO_TEST_CASE(PoolsThatReplacedThoseAskedAreAsked)
{
  SearchFixture fixture({ 4, 4, 4, 4 });
  (void)fixture.Next();
  fixture.Refuse(500);
  (void)fixture.Next();
  fixture.Refuse(500);
  fixture.pools.erase(fixture.pools.begin(), fixture.pools.begin() + 2);
  BOOST_TEST(fixture.Next().pool >= 3U);
}

/// Guards against a caller that is told to retry sooner than any pool would queue its request: what a pool said when it was
/// asked for a free slot is out of date once it has refused to queue the request.
BOOST_AUTO_TEST_CASE(TheTimeToRetryIsTheShortestOfTheLastRefusals)
{
  SearchFixture fixture({ 4, 4 });
  for (const std::uint32_t retryAfter : { 50U, 60U, 3000U, 2000U }) {
    (void)fixture.Next();
    fixture.Refuse(500, retryAfter);
  }
  BOOST_TEST(fixture.IsOver());
  BOOST_TEST((fixture.search.RetryAfter() == Milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
