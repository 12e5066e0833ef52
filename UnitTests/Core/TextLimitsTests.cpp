#include "Lagoonward/Core/TextLimits.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(TextLimitsTests)

BOOST_AUTO_TEST_CASE(ShortTextIsUnchanged)
{
  BOOST_TEST(ShortenText("", 0) == "");
  BOOST_TEST(ShortenText("abc", 3) == "abc");
}

BOOST_AUTO_TEST_CASE(LongTextIsCutAndSaysHowMuchIsMissing)
{
  BOOST_TEST(ShortenText("abcdef", 4) == "abcd... (2 more bytes)");
}

BOOST_AUTO_TEST_CASE(CharacterIsNotCut)
{
  BOOST_TEST(ShortenText("a\xe2\x82\xac"
                         "b",
                         3) == "a... (4 more bytes)");
  BOOST_TEST(ShortenText("a\xe2\x82\xac"
                         "b",
                         4) == "a\xe2\x82\xac... (1 more bytes)");
  // No UTF-8
  BOOST_TEST(ShortenText(std::string(8, '\x80'), 6).starts_with(std::string(3, '\x80')));
}

BOOST_AUTO_TEST_SUITE_END()
