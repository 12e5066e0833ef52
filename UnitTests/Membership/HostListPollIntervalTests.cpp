#include "Lagoonward/Membership/HostListPollInterval.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(HostListPollIntervalTests)

BOOST_AUTO_TEST_CASE(PollIntervalGrowsWithTheListAndIsLongerForNonReaders)
{
  const TimePoint start{};
  HostListPollInterval interval{ HostListSettings() };
  BOOST_TEST(interval.IsDue(start, true));
  BOOST_TEST(interval.IsDue(start, false));
  interval.OnRead(start, 24);
  BOOST_TEST(!interval.IsDue(start + Milliseconds(999), true));
  BOOST_TEST(interval.IsDue(start + Seconds(1), true));
  BOOST_TEST(!interval.IsDue(start + Seconds(5), false));
  BOOST_TEST(interval.IsDue(start + Seconds(6), false));
  interval.OnRead(start, 1260);
  BOOST_TEST(!interval.IsDue(start + Seconds(20), true));
  BOOST_TEST(interval.IsDue(start + Seconds(21), true));
  BOOST_TEST(!interval.IsDue(start + Seconds(300), false));
  BOOST_TEST(interval.IsDue(start + Seconds(303), false));
}

BOOST_AUTO_TEST_SUITE_END()
