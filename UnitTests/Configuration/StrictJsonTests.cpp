#include "Lagoonward/Configuration/StrictJson.h"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace lagoonward;

namespace {

constexpr std::size_t kLongestRecord = 262'144;

/// A text of aCount members that are aValue, as long as a record may be or shorter.
std::string
ObjectWithMembers(std::size_t aCount, const std::string& aValue)
{
  std::string text = "{";
  for (std::size_t index = 0; index < aCount; ++index) {
    text += (index > 0 ? ",\"" : "\"") + std::to_string(index) + "\":" + aValue;
  }
  return text + "}";
}

std::string
FaultsOf(std::string_view aText)
{
  JsonFaults faults;
  const auto value = ParseStrictJson(aText, faults);
  BOOST_TEST(value.has_value() == faults.IsEmpty());
  return DescribeFaults(faults);
}

/// Processor time of this thread.
std::chrono::duration<double>
ProcessorTime()
{
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StrictJsonTests)

BOOST_AUTO_TEST_CASE(ValuesAreThoseOfTheLibrary)
{
  const std::string text =
    R"({"a":[1,-2,2.5,"x\u00e9",null,true,[],{}],"b":{"c":[[1],{"d":[2]}]}})";
  JsonFaults faults;
  const auto value = ParseStrictJson(text, faults);
  BOOST_TEST_REQUIRE(value.has_value());
  BOOST_TEST(*value == nlohmann::json::parse(text));
  BOOST_TEST(*ParseStrictJson(" 7 ", faults) == 7);
  BOOST_TEST(faults.IsEmpty());
}

BOOST_AUTO_TEST_CASE(FaultsHaveThePointerOfTheirValue)
{
  BOOST_TEST(FaultsOf(R"({"a":[{"b":1,"b":2}]})") == "/a/0/b: duplicate member");
  BOOST_TEST(FaultsOf(R"({"x/y":[0,[1],{"k":{"b":[],"b":2}}]})") ==
             "/x~1y/2/k/b: duplicate member");
  BOOST_TEST(
    FaultsOf(R"([0,)" + std::string(kMaxJsonDepth, '[') + "]").ends_with("nested too deeply"));
  for (const char* text : { "", "{", "[1,]", "1 2", "\"\xff\"", "1e999", "{\"a\"}", "nul" }) {
    BOOST_TEST(!FaultsOf(text).empty(), text);
  }
}

BOOST_AUTO_TEST_CASE(NestingUpToTheLimitIsAccepted)
{
  const std::string deepest = std::string(kMaxJsonDepth, '[') + std::string(kMaxJsonDepth, ']');
  BOOST_TEST(FaultsOf(deepest) == "");
  BOOST_TEST(FaultsOf("[" + deepest + "]").ends_with("nested too deeply"));
}

/// Guards against a document that is refused with more text than memory allows: each of its faults had the pointer of
/// its value, and both the number of faults and the length of the pointer grew with the document.
BOOST_AUTO_TEST_CASE(FaultsOfOneDocumentAreBounded)
{
  std::string inner = "\"note\":1";
  while (inner.size() < kLongestRecord / 2) {
    inner += ",\"note\":1";
  }
  const std::string longName(kLongestRecord / 3, 'n');
  BOOST_TEST(FaultsOf("{\"" + longName + "\":{" + inner + "}}").size() < 1000U);
  BOOST_TEST(FaultsOf("{" + inner + "}").size() < 1000U);
  BOOST_TEST(FaultsOf("[" + longName).size() < 1000U);
}

/// Guards against a document that stops the thread that reads it: with a callback the library searched an object again
/// after each of its members that was an object, 4 s for a record of the longest size.
BOOST_AUTO_TEST_CASE(TimeGrowsWithTheLengthOfTheDocument)
{
  const std::string text = ObjectWithMembers(24'000, "{}");
  BOOST_TEST_REQUIRE(text.size() < kLongestRecord);
  const auto before = ProcessorTime();
  BOOST_TEST(FaultsOf(text) == "");
  BOOST_TEST((ProcessorTime() - before).count() < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
