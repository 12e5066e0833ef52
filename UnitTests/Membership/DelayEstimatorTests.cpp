#include "Lagoonward/Membership/DelayEstimator.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// A sender and a receiver whose monotonic clocks have different epochs.
struct Hosts
{
  /// Sends a message that arrives after aDelay. @return the estimate of the receiver
  Milliseconds Pass(Milliseconds aDelay)
  {
    const Milliseconds sentAt = this->now + this->offset;
    return this->estimator.OnMessage(sentAt, TimePoint(this->now + aDelay));
  }

  DelayEstimator estimator;
  Milliseconds now{ 100'000 };
  Milliseconds offset{ 7'000'000 }; ///< The sender's clock is ahead by this.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DelayEstimatorTests, Hosts)

BOOST_AUTO_TEST_CASE(EstimateIsTheDelayBeyondThatOfTheFastestMessage)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(1205)) == Milliseconds(1200)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(2)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(3)));
}

BOOST_AUTO_TEST_CASE(MinimumDelayExpiresWhenClocksDrift)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  // The sender's clock permanently falls behind by 50 ms
  this->offset -= Milliseconds(50);
  Milliseconds last{ 0 };
  for (int second = 0; second < 70; ++second) {
    this->now += Seconds(1);
    last = this->Pass(Milliseconds(5));
  }
  BOOST_TEST((last == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(EstimateStartsOverWhenTheSenderClockRestarts)
{
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->offset = Milliseconds(-90'000);
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(5)) == Milliseconds(0)));
  this->now += Seconds(1);
  BOOST_TEST((this->Pass(Milliseconds(305)) == Milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()
