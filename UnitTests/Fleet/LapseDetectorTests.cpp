#include "Lagoonward/Fleet/LapseDetector.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(LapseDetectorTests)

BOOST_AUTO_TEST_CASE(EntryLapsesAfterItWasNotRenewedForTheLapseTime)
{
  LapseDetector detector(Seconds(3));
  const TimePoint start{ Seconds(100) };
  BOOST_TEST(detector.MayHaveLapsed("a", start));
  detector.OnRenewed("a", start);
  BOOST_TEST(!detector.MayHaveLapsed("a", start + Milliseconds(2999)));
  BOOST_TEST(detector.MayHaveLapsed("a", start + Seconds(3)));
  detector.OnRenewed("a", start + Seconds(1));
  BOOST_TEST(!detector.MayHaveLapsed("a", start + Seconds(3)));
  // An older record that arrives late
  detector.OnRenewed("a", start);
  BOOST_TEST(!detector.MayHaveLapsed("a", start + Seconds(3)));
}

BOOST_AUTO_TEST_CASE(RecordOfUnknownTimeProvesNothing)
{
  LapseDetector detector(Seconds(3));
  detector.OnRenewed("a", TimePoint::min());
  BOOST_TEST(detector.MayHaveLapsed("a", TimePoint{ Seconds(1) }));
  BOOST_TEST(detector.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(PruneDropsOnlyWhatHasLapsed)
{
  LapseDetector detector(Seconds(3));
  const TimePoint start{ Seconds(100) };
  detector.OnRenewed("old", start);
  detector.OnRenewed("new", start + Seconds(1));
  detector.Prune(start + Seconds(3));
  BOOST_TEST(detector.Size() == 1U);
  BOOST_TEST(!detector.MayHaveLapsed("new", start + Seconds(3)));
  detector.Clear();
  BOOST_TEST(detector.MayHaveLapsed("new", start + Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
