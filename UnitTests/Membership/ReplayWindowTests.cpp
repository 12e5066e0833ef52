#include "Lagoonward/Membership/ReplayWindow.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(ReplayWindowTests)

BOOST_AUTO_TEST_CASE(EachSequenceNumberIsAcceptedOnceInAnyOrder)
{
  ReplayWindow window;
  for (const std::uint32_t number : { 3U, 1U, 2U, 10U, 9U }) {
    BOOST_TEST(window.Accept(number));
    BOOST_TEST(!window.Accept(number));
  }
}

BOOST_AUTO_TEST_CASE(SequenceNumbersOlderThanTheWindowAreRejected)
{
  ReplayWindow window;
  BOOST_TEST(window.Accept(100));
  BOOST_TEST(window.Accept(37));
  BOOST_TEST(!window.Accept(36));
  BOOST_TEST(!window.Accept(0));
}

BOOST_AUTO_TEST_CASE(DatagramsOfAnEarlierSessionAreRejected)
{
  ReplayGuard guard;
  const TimePoint now{};
  BOOST_TEST(guard.Accept(1, 5, 1, now));
  BOOST_TEST(guard.Accept(1, 6, 1, now));
  BOOST_TEST(!guard.Accept(1, 5, 2, now));
  BOOST_TEST(!guard.Accept(1, 6, 1, now));
  BOOST_TEST(guard.Accept(2, 5, 2, now));
}

BOOST_AUTO_TEST_SUITE_END()
