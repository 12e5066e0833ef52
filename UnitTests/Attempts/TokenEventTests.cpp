#include "Lagoonward/Attempts/TokenEvent.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(TokenEventTests)

BOOST_AUTO_TEST_CASE(ParsesPlainTokenEvents)
{
  const auto token = ParsePlainToken(R"({"index":17,"text":" outfall, {9}"})");
  BOOST_REQUIRE(token.has_value());
  BOOST_TEST(token->index == 17);
  BOOST_TEST(token->text == " outfall, {9}");
  const auto spaced = ParsePlainToken(R"({"index": 0, "text": " a"})");
  BOOST_REQUIRE(spaced.has_value());
  BOOST_TEST(spaced->index == 0);
  BOOST_TEST(spaced->text == " a");
  BOOST_TEST(ParsePlainToken(R"({"index":3,"text":""})").value().text.empty());
}

BOOST_AUTO_TEST_CASE(ReturnsNothingForAnyOtherEvent)
{
  for (const char* event : { "",
                             "{",
                             R"({"index":)",
                             R"({"index":1)",
                             R"({"index":1,"text":"})",
                             R"({"index":1,"text":)",
                             R"({"index":1,"text":"a\n"})",
                             R"({"index":1,"text":"a\"})",
                             R"({"index":1,"text":"a","b":"c"})",
                             R"({"index":01,"text":"a"})",
                             R"({"index":-1,"text":"a"})",
                             R"({"index":-0,"text":"a"})",
                             R"({"index":1.5,"text":"a"})",
                             R"({"index":1e2,"text":"a"})",
                             R"({"index":"1","text":"a"})",
                             R"({"index":99999999999999999999,"text":"a"})",
                             R"({"text":"a","index":1})",
                             R"({"index":1,"text":"a"} )",
                             "{\"index\":1,\"text\":\"\xc3\xa5\"}",
                             "{\"index\":1,\"text\":\"\t\"}",
                             R"({"index":1,"text":7})" }) {
    BOOST_TEST(!ParsePlainToken(event).has_value(), event);
  }
}

BOOST_AUTO_TEST_SUITE_END()
