#include "Lagoonward/Configuration/JsonSplitter.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(JsonSplitterTests)

BOOST_AUTO_TEST_CASE(ObjectIsSplitAtItsOutermostLevel)
{
  const auto members =
    SplitJsonObject(R"( {"a" : [1, {"x":"}, ]"}], "b\"c":"te,xt\\", "d":{"e":1,"f":2}, "g": 7 } )");
  BOOST_REQUIRE(members.has_value());
  BOOST_REQUIRE(members->size() == 4U);
  BOOST_TEST(members->at(0).name == "a");
  BOOST_TEST(members->at(0).value == R"([1, {"x":"}, ]"}])");
  BOOST_TEST(members->at(1).name == R"(b\"c)");
  BOOST_TEST(members->at(1).value == R"("te,xt\\")");
  BOOST_TEST(members->at(2).value == R"({"e":1,"f":2})");
  BOOST_TEST(members->at(3).value == "7");
}

BOOST_AUTO_TEST_CASE(ArrayIsSplitIntoItemsIncludingEmptyOnes)
{
  const auto items = SplitJsonArray(R"([ {"a":1} , [2,3],, "x" ])");
  BOOST_REQUIRE(items.has_value());
  BOOST_REQUIRE(items->size() == 4U);
  BOOST_TEST(items->at(0) == R"({"a":1})");
  BOOST_TEST(items->at(1) == "[2,3]");
  BOOST_TEST(items->at(2).empty());
  BOOST_TEST(items->at(3) == R"("x")");
  BOOST_TEST(SplitJsonArray(" [ ] ")->empty());
  BOOST_TEST(SplitJsonArray("[1,]")->at(1).empty());
}

BOOST_AUTO_TEST_CASE(TextOfAnotherShapeIsNotSplit)
{
  for (const char* text : { "", "{", "[]", "7", R"({"a":1]})", R"({"a":[1})", R"({"a":"open})",
                            R"({a:1})", R"({"a" 1})", R"({"a":1,})" }) {
    BOOST_TEST(!SplitJsonObject(text).has_value(), text);
  }
  for (const char* text : { "", "{}", "[", "[[]", R"(["open])", "[}]" }) {
    BOOST_TEST(!SplitJsonArray(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
