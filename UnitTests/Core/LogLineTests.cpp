#include "Lagoonward/Core/LogLine.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(LogLineTests)

BOOST_AUTO_TEST_CASE(LineHasItsFields)
{
  std::string line = BeginLogLine(LogLevel::Warning, "store", 1700000000123);
  AppendLogField(line, { "text", "a\"b" });
  AppendLogField(line, { "number", 7 });
  AppendLogField(line, { "real", 0.5 });
  AppendLogField(line, { "flag", true });
  BOOST_TEST(line == R"({"time":1700000000123,"level":"warning","part":"store","text":"a\"b",)"
                     R"("number":7,"real":0.5,"flag":true)");
}

/// Guards against logs that grow with names and texts from outside: a warning that was repeated with a service's name of
/// 250,000 characters wrote 20 MB in 8 s.
BOOST_AUTO_TEST_CASE(LongTextIsShortened)
{
  std::string line;
  AppendLogField(line, { "service", std::string(250'000, 's') });
  BOOST_TEST(line.size() < 2 * kMaximumLoggedText);
  BOOST_TEST(line.ends_with("(249000 more bytes)\""));
}

BOOST_AUTO_TEST_SUITE_END()
