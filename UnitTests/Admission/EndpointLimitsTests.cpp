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
  BOOST_TEST(!this->limits.MakePermitRequest("e").has_value());
  this->limits.OnLimitAdvertised("e", 1.5);
  this->clock.Advance(Milliseconds(300));
  const auto wanted = this->limits.MakePermitRequest("e");
  BOOST_REQUIRE(wanted.has_value());
  BOOST_TEST(wanted->perSecond == 1.5);
  BOOST_TEST(wanted->age == 300);
  BOOST_TEST(!this->limits.MakePermitRequest("other").has_value());
  this->limits.OnMalformedLimit("e");
  BOOST_TEST(this->limits.MakePermitRequest("e").has_value());
  this->limits.OnNoLimitAdvertised("e");
  BOOST_TEST(!this->limits.MakePermitRequest("e").has_value());
}

BOOST_AUTO_TEST_CASE(LimitAboveTheLargestIsTreatedAsNone)
{
  this->limits.OnLimitAdvertised("e", 1);
  this->limits.OnLimitAdvertised("e", 1e30);
  BOOST_TEST(!this->limits.MakePermitRequest("e").has_value());
}

BOOST_AUTO_TEST_CASE(ListenerIsCalledOnceWhenALimitIsLifted)
{
  int calls = 0;
  this->limits.SetLimitLiftedListener([&](const PermitRequest& aUpdate) {
    ++calls;
    BOOST_TEST(!aUpdate.isLimited);
    BOOST_TEST(!aUpdate.wantsPermit);
  });
  this->limits.OnNoLimitAdvertised("e");
  this->limits.OnLimitAdvertised("e", 1);
  this->limits.OnNoLimitAdvertised("e");
  this->limits.OnNoLimitAdvertised("e");
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(EndpointWithoutPermitIsBlockedForTheWaitTime)
{
  this->limits.OnLimitAdvertised("a", 1);
  this->limits.OnLimitAdvertised("b", 1);
  this->limits.OnPermitDenied("a", { PermitAnswer::Wait, 800 });
  this->limits.OnPermitDenied("b", { PermitAnswer::Wait, 300 });
  BOOST_TEST(this->limits.BlockedEndpoints().size() == 2U);
  const std::vector<std::string> both{ "a", "b" };
  BOOST_TEST((this->limits.UntilNextUnblocked(both) == Milliseconds(300)));
  BOOST_TEST((this->limits.UntilNextUnblocked(std::span(both).first(1)) == Milliseconds(800)));
  this->clock.Advance(Milliseconds(400));
  BOOST_TEST(this->limits.BlockedEndpoints() == std::vector<std::string>{ "a" },
             boost::test_tools::per_element());
  this->clock.Advance(Milliseconds(400));
  BOOST_TEST(this->limits.BlockedEndpoints().empty());
  BOOST_TEST(!this->limits.UntilNextUnblocked(both).has_value());
}

BOOST_AUTO_TEST_CASE(UnlimitedReplyRemovesTheLimit)
{
  this->limits.OnLimitAdvertised("a", 1);
  this->limits.OnPermitDenied("a", { PermitAnswer::Unlimited, 0 });
  BOOST_TEST(!this->limits.MakePermitRequest("a").has_value());
}

BOOST_AUTO_TEST_CASE(NumberOfLimitedEndpointsIsBounded)
{
  for (int index = 0; index < 10'000; ++index) {
    this->limits.OnLimitAdvertised("e" + std::to_string(index), 1);
    this->clock.Advance(Milliseconds(1));
  }
  BOOST_TEST(this->limits.LimitedEndpoints().size() == EndpointLimitSettings{}.maximumEndpoints);
  BOOST_TEST(this->limits.MakePermitRequest("e9999").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
