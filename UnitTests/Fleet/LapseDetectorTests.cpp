#include "Lagoonward/Fleet/LapseDetector.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr Milliseconds kReadInterval{ 400 };

/// A detector whose host reads the source.
struct DetectorFixture
{
  DetectorFixture() { this->Read(Milliseconds(0)); }

  /// Reads the source without a pause until the end of a span.
  void Read(Milliseconds aSpan)
  {
    const TimePoint end = this->now + aSpan;
    this->detector.OnRead(this->now);
    while (this->now < end) {
      this->now = std::min(this->now + kReadInterval, end);
      this->detector.OnRead(this->now);
    }
  }

  [[nodiscard]] bool MayHaveLapsed() const { return this->detector.MayHaveLapsed("a", this->now); }

  TimePoint now{ Seconds(100) };
  LapseDetector detector{ Seconds(3), Milliseconds(1500) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LapseDetectorTests, DetectorFixture)

BOOST_AUTO_TEST_CASE(EntryCanHaveLapsedAfterItWasNotRenewedForTheLapseTime)
{
  BOOST_TEST(this->MayHaveLapsed());
  this->detector.OnRenewed("a", this->now);
  this->Read(Milliseconds(2999));
  BOOST_TEST(!this->MayHaveLapsed());
  this->Read(Milliseconds(1));
  BOOST_TEST(this->MayHaveLapsed());
  this->detector.OnRenewed("a", this->now);
  BOOST_TEST(!this->MayHaveLapsed());
}

/// The record may have been written right after the previous read.
BOOST_AUTO_TEST_CASE(RenewalCountsFromThePreviousRead)
{
  this->detector.OnRenewed("a", this->now + Milliseconds(300));
  this->Read(Milliseconds(3100));
  BOOST_TEST(this->MayHaveLapsed());
}

// Guards against live endpoints that are taken for ones that have left: a host that does not read the source may miss an
// outage in which entries lapse before their time.
BOOST_AUTO_TEST_CASE(RenewalsBeforeAnOutageOrAPauseProveNothing)
{
  this->detector.OnRenewed("a", this->now);
  this->detector.OnOutage();
  this->Read(Milliseconds(400));
  BOOST_TEST(this->MayHaveLapsed());
  this->detector.OnRenewed("a", this->now);
  BOOST_TEST(!this->MayHaveLapsed());

  this->now += Milliseconds(1600);
  BOOST_TEST(this->MayHaveLapsed());
  this->detector.OnRenewed("a", this->now);
  this->Read(Milliseconds(400));
  BOOST_TEST(this->MayHaveLapsed());
}

BOOST_AUTO_TEST_CASE(PruneDropsOnlyWhatCanHaveLapsed)
{
  this->detector.OnRenewed("old", this->now);
  this->Read(Seconds(1));
  this->detector.OnRenewed("a", this->now);
  this->Read(Seconds(2));
  this->detector.Prune(this->now);
  BOOST_TEST(this->detector.Size() == 1U);
  BOOST_TEST(!this->MayHaveLapsed());
}

BOOST_AUTO_TEST_SUITE_END()
