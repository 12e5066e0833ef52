#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

struct Fixture
{
  VirtualClock clock;
  EndpointLimits limits{ {}, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointLimitsTests, Fixture)

BOOST_AUTO_TEST_CASE(PermitIsRequestedIfTheLastAnswerAdvertisedALimit)
{
  BOOST_TEST(!this->limits.WantedPermit("e").has_value());
  this->limits.OnNamed("e", 1.5);
  this->clock.Advance(Milliseconds(300));
  const auto wanted = this->limits.WantedPermit("e");
  BOOST_REQUIRE(wanted.has_value());
  BOOST_TEST(wanted->perSecond == 1.5);
  BOOST_TEST(wanted->age == 300);
  BOOST_TEST(!this->limits.WantedPermit("other").has_value());
  this->limits.OnMalformed("e");
  BOOST_TEST(this->limits.WantedPermit("e").has_value());
  this->limits.OnNoneNamed("e");
  BOOST_TEST(!this->limits.WantedPermit("e").has_value());
}

BOOST_AUTO_TEST_CASE(LimitAboveTheLargestIsTreatedAsNone)
{
  this->limits.OnNamed("e", 1);
  this->limits.OnNamed("e", 1e30);
  BOOST_TEST(!this->limits.WantedPermit("e").has_value());
}

BOOST_AUTO_TEST_CASE(ListenerIsCalledOnceWhenALimitIsLifted)
{
  int calls = 0;
  this->limits.OnLifted([&](const PermitRequest& aUpdate) {
    ++calls;
    BOOST_TEST(!aUpdate.isLimited);
    BOOST_TEST(!aUpdate.wants);
  });
  this->limits.OnNoneNamed("e");
  this->limits.OnNamed("e", 1);
  this->limits.OnNoneNamed("e");
  this->limits.OnNoneNamed("e");
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(EndpointWithoutPermitIsBlockedForTheWaitTime)
{
  this->limits.OnNamed("a", 1);
  this->limits.OnNamed("b", 1);
  this->limits.OnNoPermit("a", { PermitAnswer::Wait, 800 });
  this->limits.OnNoPermit("b", { PermitAnswer::Wait, 300 });
  BOOST_TEST(this->limits.Blocked().size() == 2U);
  const std::vector<std::string> both{ "a", "b" };
  BOOST_TEST((this->limits.UntilNextUnblocked(both) == Milliseconds(300)));
  BOOST_TEST((this->limits.UntilNextUnblocked(std::span(both).first(1)) == Milliseconds(800)));
  this->clock.Advance(Milliseconds(400));
  BOOST_TEST(this->limits.Blocked() == std::vector<std::string>{ "a" },
             boost::test_tools::per_element());
  this->clock.Advance(Milliseconds(400));
  BOOST_TEST(this->limits.Blocked().empty());
  BOOST_TEST(!this->limits.UntilNextUnblocked(both).has_value());
}

BOOST_AUTO_TEST_CASE(UnlimitedReplyRemovesTheLimit)
{
  this->limits.OnNamed("a", 1);
  this->limits.OnNoPermit("a", { PermitAnswer::Unlimited, 0 });
  BOOST_TEST(!this->limits.WantedPermit("a").has_value());
}

BOOST_AUTO_TEST_CASE(NumberOfLimitedEndpointsIsBounded)
{
  for (int index = 0; index < 10'000; ++index) {
    this->limits.OnNamed("e" + std::to_string(index), 1);
    this->clock.Advance(Milliseconds(1));
  }
  BOOST_TEST(this->limits.Limited().size() == EndpointLimitSettings{}.maximumEndpoints);
  BOOST_TEST(this->limits.WantedPermit("e9999").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
