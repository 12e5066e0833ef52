#include "Lagoonward/Admission/BrittleServices.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

struct Fixture
{
  VirtualClock clock;
  BrittleServices services{ {}, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrittleServicesTests, Fixture)

BOOST_AUTO_TEST_CASE(OneAnswerStandsForAllEndpointsOfItsService)
{
  BOOST_TEST(!this->services.IsBrittle("s"));
  this->services.OnBrittleAnswer("s", "e1", 3);
  BOOST_TEST(this->services.IsBrittle("s"));
  BOOST_TEST(!this->services.IsBrittle("other"));
  BOOST_TEST(this->services.Count() == 1);
}

BOOST_AUTO_TEST_CASE(ServiceIsSoundOnceAllItsEndpointsHaveSaidNothing)
{
  this->services.OnBrittleAnswer("s", "e1", 3);
  this->services.OnBrittleAnswer("s", "e2", 3);
  this->clock.Advance(Milliseconds(10));
  this->services.OnSoundAnswer("s", "e1", this->clock.Now());
  BOOST_TEST(this->services.IsBrittle("s"));
  this->services.OnSoundAnswer("s", "e2", this->clock.Now());
  BOOST_TEST(!this->services.IsBrittle("s"));
}

/// Guards against an answer from before the brittle phase that arrives late and ends it.
BOOST_AUTO_TEST_CASE(AnswerToARequestFromBeforeHasNoEffect)
{
  const TimePoint before = this->clock.Now();
  this->clock.Advance(Milliseconds(10));
  this->services.OnBrittleAnswer("s", "e1", 3);
  this->clock.Advance(Milliseconds(10));
  this->services.OnSoundAnswer("s", "e1", before);
  BOOST_TEST(this->services.IsBrittle("s"));
}

BOOST_AUTO_TEST_CASE(MalformedAnswerLeavesWhatWasSaidBefore)
{
  this->services.OnMalformedAnswer("e1");
  BOOST_TEST(!this->services.IsBrittle("s"));
  this->services.OnBrittleAnswer("s", "e1", 0);
  this->services.OnMalformedAnswer("e1");
  BOOST_TEST(this->services.IsBrittle("s"));
}

BOOST_AUTO_TEST_CASE(ServiceWithoutAnswersIsSoundAfterTheRetention)
{
  this->services.OnBrittleAnswer("s", "e1", 3);
  this->clock.Advance(BrittleServiceSettings{}.retention + Milliseconds(1));
  BOOST_TEST(!this->services.IsBrittle("s"));
}

/// Guards against two daemons that keep a service brittle by reporting it to each other without end.
BOOST_AUTO_TEST_CASE(ReportsBetweenDaemonsExpire)
{
  BrittleServices other({}, this->clock);
  this->services.OnBrittleAnswer("s", "e1", 3);
  other.OnReports(this->services.Reports());
  BOOST_TEST(other.IsBrittle("s"));
  for (int round = 0; round < 100; ++round) {
    this->clock.Advance(Milliseconds(100));
    other.OnReports(this->services.Reports());
    this->services.OnReports(other.Reports());
  }
  BOOST_TEST(!this->services.IsBrittle("s"));
  BOOST_TEST(!other.IsBrittle("s"));
}

BOOST_AUTO_TEST_SUITE_END()
