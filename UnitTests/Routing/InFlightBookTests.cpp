#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/InFlightBook.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(InFlightBookTests)

BOOST_AUTO_TEST_CASE(SumsWhatTheOthersToldLast)
{
  VirtualClock clock;
  InFlightBook book(Seconds(3), clock);
  book.OnCounts(1, { { 10, 2 }, { 20, 1 } });
  book.OnCounts(2, { { 10, 5 } });
  book.OnCounts(3, { { 20, 4 } });
  book.OnCounts(2, { { 10, 3 } });
  const InFlightCounts sum = book.SumOfOthers(1);
  BOOST_REQUIRE_EQUAL(sum.size(), 2U);
  BOOST_TEST(sum.at(0).second == 3);
  BOOST_TEST(sum.at(1).second == 4);
}

BOOST_AUTO_TEST_CASE(ForgetsWhoIsSilent)
{
  VirtualClock clock;
  InFlightBook book(Seconds(3), clock);
  book.OnCounts(1, { { 10, 2 } });
  clock.Advance(Seconds(4));
  BOOST_TEST(book.SumOfOthers(2).empty());
}

BOOST_AUTO_TEST_SUITE_END()
