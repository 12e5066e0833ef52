#include "StandIns/Engine/PrefixCache.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward::standins;

BOOST_AUTO_TEST_SUITE(PrefixCacheTests)

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedAndNeverAPinnedBlock)
{
  PrefixCache cache(2, 100);
  BOOST_TEST(cache.Pin(1));
  BOOST_TEST(cache.Pin(2));
  BOOST_TEST(!cache.Pin(3));
  cache.Unpin(1);
  BOOST_TEST(cache.Pin(3));
  const std::vector<std::uint64_t> chain{ 2, 3, 1 };
  BOOST_TEST(cache.Match(chain) == 2U);
  BOOST_TEST(cache.Pinned() == 2U);
}

BOOST_AUTO_TEST_CASE(RecordsChangesAndDropsOldEvents)
{
  PrefixCache cache(1, 2);
  for (std::uint64_t block = 1; block <= 3; ++block) {
    BOOST_TEST(cache.Pin(block));
    cache.Unpin(block);
  }
  // Stored 1, evicted 1, stored 2, evicted 2, stored 3: the last two are retained
  BOOST_TEST(cache.NextSequence() == 5);
  BOOST_TEST(cache.Events().front().sequence == 3);
  BOOST_TEST(!cache.Events().front().stored);
  BOOST_TEST(cache.Events().back().block == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
