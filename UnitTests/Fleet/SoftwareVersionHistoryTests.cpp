#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Fleet/SoftwareVersionHistory.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

struct Fixture
{
  /// The endpoints run these versions from now on; the snapshot stays current for a time.
  void Run(const std::vector<std::string>& aVersions, Seconds aFor)
  {
    FleetSnapshot fleet;
    for (const std::string& version : aVersions) {
      Endpoint endpoint;
      endpoint.name = "s";
      endpoint.softwareVersion = version;
      fleet.endpoints.push_back(endpoint);
    }
    this->history.OnSnapshot(fleet);
    for (Seconds passed{ 0 }; passed < aFor; passed += Seconds(1)) {
      this->history.OnCurrent(this->clock.BootNow());
      this->clock.Advance(Seconds(1));
    }
    this->history.OnCurrent(this->clock.BootNow());
  }

  [[nodiscard]] std::optional<std::string> Sole(Seconds aDuring)
  {
    return this->history.VersionsOf("s", aDuring).Sole();
  }

  VirtualClock clock;
  SoftwareVersionHistory history{ clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoftwareVersionHistoryTests, Fixture)

BOOST_AUTO_TEST_CASE(OnlyVersionIsKnownOnceItWasKnownForLongEnough)
{
  BOOST_TEST(!this->Sole(Seconds(0)).has_value());
  this->Run({ "v1", "v1" }, Seconds(9));
  BOOST_TEST(!this->Sole(Seconds(10)).has_value());
  this->Run({ "v1" }, Seconds(2));
  BOOST_TEST((this->Sole(Seconds(10)) == "v1"));
}

// Guards against a stream that continues at another version because the one that began it has just gone, or another one
// has come and gone
BOOST_AUTO_TEST_CASE(VersionThatRanWithinTheTimeCountsAfterItHasGone)
{
  this->Run({ "v1" }, Seconds(20));
  this->Run({ "v1", "v2" }, Seconds(1));
  this->Run({ "v1" }, Seconds(9));
  BOOST_TEST(!this->Sole(Seconds(10)).has_value());
  this->Run({ "v1" }, Seconds(2));
  BOOST_TEST((this->Sole(Seconds(10)) == "v1"));
}

// Guards against a daemon that was cut off and takes what it knew before for what has happened since
BOOST_AUTO_TEST_CASE(TimeWithoutACurrentSnapshotDoesNotCount)
{
  this->Run({ "v1" }, Seconds(20));
  this->clock.Advance(Seconds(8));
  BOOST_TEST(!this->Sole(Seconds(10)).has_value());
  BOOST_TEST(!this->history.IsCurrentAsOf(this->clock.BootNow() - Seconds(1)));
  this->Run({ "v1" }, Seconds(5));
  BOOST_TEST(!this->Sole(Seconds(10)).has_value());
  this->Run({ "v1" }, Seconds(6));
  BOOST_TEST((this->Sole(Seconds(10)) == "v1"));
}

BOOST_AUTO_TEST_SUITE_END()
