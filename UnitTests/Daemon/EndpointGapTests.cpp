#include "UnitTests/Daemon/VirtualReplicationFleet.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::replication_tests;

namespace {

/// Time in which a leaving endpoint must be known on all daemons, by the default settings.
constexpr Milliseconds kLeavingNotice{ 2'000 };
/// Between two checks of the daemons' ages.
constexpr Milliseconds kCheckInterval{ 20 };

/// A fleet whose daemons know one endpoint and have not read the source themselves for a while.
struct GapFleet : VirtualFleet
{
  GapFleet()
    : VirtualFleet(8, { "a", "b" })
  {
    this->Write("old", "live");
    this->Run(Seconds(6));
  }

  /// Runs the fleet, and checks that no age is below the truth meanwhile.
  void RunAndCheck(Milliseconds aSpan)
  {
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += kCheckInterval) {
      this->Run(kCheckInterval);
      const std::string contradiction = this->FindFalseAge();
      BOOST_REQUIRE_MESSAGE(contradiction.empty(), contradiction);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointGapTests, GapFleet)

// Guards against a leaving that is known late, as staleness limits, a read and two messages add up if the reader dies.
BOOST_AUTO_TEST_CASE(LeavingReachesAllDaemonsInTimeWhenTheReaderDies)
{
  this->OfRank(0).Kill();
  this->Write("old", "leaving");
  this->RunAndCheck(kLeavingNotice);
  BOOST_TEST(this->CountLive("old") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
