#include "Lagoonward/Core/Error.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(ErrorKindTests)

BOOST_AUTO_TEST_CASE(RulesAreInEnumerationOrderWithUniqueNames)
{
  std::set<std::string_view> names;
  int position = 0;
  for (const ErrorRule& rule : GetErrorRules()) {
    BOOST_TEST(static_cast<int>(rule.kind) == position);
    BOOST_TEST(rule.httpStatus >= 400);
    BOOST_TEST(names.insert(rule.name).second);
    ++position;
  }
  BOOST_TEST(position == static_cast<int>(ErrorKind::Internal) + 1);
}

BOOST_AUTO_TEST_CASE(JsonBodyContainsKindMessageAndRan)
{
  const Error error(ErrorKind::ClaimUnavailable, "the log is away");
  BOOST_TEST(error.ToJson() ==
             R"({"error":{"kind":"claim_unavailable","message":"the log is away","ran":"no"}})");
}

BOOST_AUTO_TEST_CASE(InvalidUtf8InMessageIsReplacedInJsonBody)
{
  const Error error(ErrorKind::InvalidRequest, "bad \xff byte");
  BOOST_TEST(error.ToJson().find("bad \xef\xbf\xbd byte") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
