#include "Lagoonward/Core/StringMemory.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(StringMemoryTests)

/// Guards against memory that a string keeps after it was emptied.
BOOST_AUTO_TEST_CASE(FreedStringOccupiesNoMemory)
{
  std::string text(1000, 'x');
  BOOST_TEST(HeapBytes(text) >= 1000U);
  FreeString(text);
  BOOST_TEST(text.empty());
  BOOST_TEST(HeapBytes(text) == 0U);
  BOOST_TEST(HeapBytes("short") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
