#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Relay/StreamOriginTable.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

const StreamOrigin kOrigin{ "s", "v1" };

struct Fixture
{
  VirtualClock clock;
  StreamOriginTable table{ { .retention = Seconds(60), .maximumRecords = 100 }, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginTableTests, Fixture)

BOOST_AUTO_TEST_CASE(OriginIsKeptForItsRetentionAndNotMuchLonger)
{
  this->clock.Advance(Seconds(59));
  this->table.Record(1, kOrigin);
  this->clock.Advance(Seconds(60));
  BOOST_TEST((this->table.Get(1) == kOrigin));
  BOOST_TEST(!this->table.Get(2).has_value());
  this->clock.Advance(Seconds(61));
  BOOST_TEST(!this->table.Get(1).has_value());
  this->table.Record(3, kOrigin);
  this->clock.Advance(Seconds(130));
  BOOST_TEST(!this->table.Get(3).has_value());
}

BOOST_AUTO_TEST_CASE(OriginRecordedAgainIsKeptLonger)
{
  for (int step = 0; step < 10; ++step) {
    this->table.Record(1, kOrigin);
    this->clock.Advance(Seconds(50));
    BOOST_TEST(this->table.Get(1).has_value());
  }
  BOOST_TEST(this->table.Entries().size() == 1U);
}

// Guards against memory that grows with the streams of an unusually busy time
BOOST_AUTO_TEST_CASE(NumberOfOriginsIsBounded)
{
  for (std::uint64_t stream = 0; stream < 1000; ++stream) {
    this->table.Record(stream, kOrigin);
    BOOST_TEST_REQUIRE(this->table.Size() <= 200U);
  }
  BOOST_TEST(this->table.Get(999).has_value());
}

// Guards against a stream that continues for a caller of another client account who names the same request
BOOST_AUTO_TEST_CASE(KeysOfTwoAccountsDiffer)
{
  BOOST_TEST(StreamKeyOf("a", "r") != StreamKeyOf("b", "r"));
  BOOST_TEST(StreamKeyOf("ab", "c") != StreamKeyOf("a", "bc"));
  BOOST_TEST(StreamKeyOf("a", "r") == StreamKeyOf("a", "r"));
}

BOOST_AUTO_TEST_SUITE_END()
