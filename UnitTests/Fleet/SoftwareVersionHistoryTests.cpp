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

// Guards against streams held together from two versions after a kill of all daemons: a daemon that was started again took
// the only version that it had seen for the one that had begun a stream.
BOOST_AUTO_TEST_CASE(RecordedVersionCountsAsSeenWhenTheRecordWasRead)
{
  this->Run({ "v2" }, Seconds(1));
  BOOST_TEST(this->history.NeedsRecord());
  BOOST_TEST(!this->history.AllVersions(Seconds(10)).has_value());
  this->history.OnRecorded({ { "s", { "v1", "v2" } } }, this->clock.BootNow());
  BOOST_TEST(!this->history.NeedsRecord());
  BOOST_TEST(!this->Sole(Seconds(10)).has_value());
  BOOST_TEST(
    (this->history.AllVersions(Seconds(10)) == VersionsByService{ { "s", { "v1", "v2" } } }));
  this->Run({ "v2" }, Seconds(11));
  BOOST_TEST((this->Sole(Seconds(10)) == "v2"));
}

BOOST_AUTO_TEST_CASE(OnlyVersionIsKnownAtOnceFromTheRecordUntilAGap)
{
  this->Run({ "v1" }, Seconds(1));
  this->history.OnRecorded({ { "s", { "v1" } } }, this->clock.BootNow());
  BOOST_TEST((this->Sole(Seconds(60)) == "v1"));
  // Versions that came and went meanwhile were recorded by others
  this->clock.Advance(Seconds(20));
  this->Run({ "v1" }, Seconds(1));
  BOOST_TEST(!this->Sole(Seconds(60)).has_value());
  BOOST_TEST(this->history.NeedsRecord());
  this->history.OnRecorded({ { "s", { "v1" } } }, this->clock.BootNow());
  BOOST_TEST((this->Sole(Seconds(60)) == "v1"));
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
