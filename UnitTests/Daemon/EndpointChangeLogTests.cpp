#include "Lagoonward/Daemon/EndpointChangeLog.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace lagoonward;

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

/// A log of records with these versions, in this order.
EndpointChangeLog
LogOf(std::initializer_list<Offset> aVersions)
{
  EndpointChangeLog log(Seconds(1));
  log.StartAt(0);
  for (const Offset version : aVersions) {
    log.Add({ "e" + std::to_string(version), "text", version }, false, TimePoint());
  }
  return log;
}

std::string
IdsOf(const EndpointChangeLog::Part& aPart)
{
  std::string ids;
  for (const EndpointRecord& record : aPart.records) {
    ids += record.id;
  }
  return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointChangeLogTests)

BOOST_AUTO_TEST_CASE(AllChangesFromAVersionOnAreInOnePart)
{
  const auto part = LogOf({ 1, 3, 2, 4 }).ChangesFrom(2, kUnlimited);
  BOOST_TEST(IdsOf(part) == "e3e2e4");
  BOOST_TEST(!part.endVersion.has_value());
}

BOOST_AUTO_TEST_CASE(ChangesThatDoNotFitFollowInTheNextPart)
{
  const EndpointChangeLog log = LogOf({ 1, 3, 2, 4, 5 });
  const std::size_t two = 2 * EncodedBytes(EndpointRecord{ "e1", "text" });
  const auto first = log.ChangesFrom(0, two);
  BOOST_TEST(IdsOf(first) == "e1e2");
  BOOST_TEST_REQUIRE(first.endVersion.has_value());
  const auto second = log.ChangesFrom(*first.endVersion, two);
  BOOST_TEST(IdsOf(second) == "e3e4");
  BOOST_TEST_REQUIRE(second.endVersion.has_value());
  const auto third = log.ChangesFrom(*second.endVersion, two);
  BOOST_TEST(IdsOf(third) == "e5");
  BOOST_TEST(!third.endVersion.has_value());
}

BOOST_AUTO_TEST_CASE(PartHasAtLeastOneChange)
{
  const auto part = LogOf({ 1, 2 }).ChangesFrom(0, 1);
  BOOST_TEST(IdsOf(part) == "e1");
  BOOST_TEST((part.endVersion == LogPosition(2)));
  BOOST_TEST(!LogOf({ 1 }).ChangesFrom(0, 1).endVersion.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
