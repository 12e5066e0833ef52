#include "Lagoonward/Membership/DelayMeter.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// Two hosts whose clocks began at different times.
struct Hosts
{
  /// A message is sent now and arrives after a delay, as the receiver measures it.
  Milliseconds Pass(Milliseconds aDelay)
  {
    const Milliseconds sentAt = this->now + this->offset;
    return this->meter.OnMessage(sentAt, TimePoint(this->now + aDelay));
  }

  DelayMeter meter;
  Milliseconds now{ 100'000 };
  Milliseconds offset{ 7'000'000 }; ///< The sender's clock is ahead by this.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DelayMeterTests, Hosts)

BOOST_AUTO_TEST_CASE(TellsHowMuchLongerThanTheQuickestAMessageTook)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(1205)) == Milliseconds(1200)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(2)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(3)));
}

BOOST_AUTO_TEST_CASE(ForgetsTheQuickestAsClocksDrift)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  // The sender's clock has fallen behind by 50 ms, for good
  this->offset -= Milliseconds(50);
  Milliseconds last{ 0 };
  for (int second = 0; second < 70; ++second) {
    this->now += Seconds(1);
    last = this->Pass(Milliseconds(5));
  }
  BOOST_TEST((last == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(ASenderWhoseClockBeganAnewIsMeasuredAnew)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->offset = Milliseconds(-90'000);
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(305)) == Milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()
