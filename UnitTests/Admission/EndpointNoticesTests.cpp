#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace lagoonward;

namespace {

struct Fixture
{
  /// A snapshot of endpoints e0, e1, ... with these incarnations.
  static std::shared_ptr<FleetSnapshot> MakeFleet(const std::vector<std::int64_t>& aIncarnations)
  {
    auto fleet = std::make_shared<FleetSnapshot>();
    for (const std::int64_t incarnation : aIncarnations) {
      Endpoint endpoint;
      endpoint.id = fmt::format("e{}", fleet->endpoints.size());
      endpoint.incarnation = incarnation;
      fleet->endpoints.push_back(endpoint);
    }
    return fleet;
  }

  std::uint64_t Key(int aIndex) const
  {
    return EndpointKeyOf(this->fleet->endpoints[static_cast<std::size_t>(aIndex)]);
  }

  std::vector<std::string> Blocked() { return this->notices.BlockedEndpoints(this->fleet); }

  VirtualClock clock;
  EndpointNotices notices{ {}, clock };
  std::shared_ptr<FleetSnapshot> fleet = MakeFleet({ 7, 7 });
  const std::vector<std::string> none{};
  const std::vector<std::string> first{ "e0" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointNoticesTests, Fixture)

BOOST_AUTO_TEST_CASE(EndpointThatLeavesIsBlockedForGood)
{
  BOOST_TEST(this->Blocked() == this->none);
  this->notices.OnLeaving(this->Key(0), "e0");
  BOOST_TEST(this->Blocked() == this->first);
  this->clock.Advance(std::chrono::hours(1));
  BOOST_TEST(this->Blocked() == this->first);
  BOOST_TEST((this->notices.Find(this->Key(0)) == EndpointNotice::Leaving));
  BOOST_TEST((this->notices.Find(this->Key(1)) == EndpointNotice::None));
  BOOST_TEST(!this->notices.UntilUnblocked(this->Key(0)).has_value());
}

/// Guards against older news: a record that is still live, also one written after the answer.
BOOST_AUTO_TEST_CASE(EachSnapshotIsMarkedWithEndpointsThatLeave)
{
  this->notices.OnLeaving(this->Key(0), "e0");
  for (int snapshot = 0; snapshot < 2; ++snapshot) {
    this->fleet = MakeFleet({ 7, 7 });
    BOOST_TEST(this->Blocked() == this->first);
    this->notices.ApplyTo(*this->fleet);
    BOOST_TEST((this->fleet->endpoints[0].state == EndpointState::Leaving));
    BOOST_TEST((this->fleet->endpoints[1].state == EndpointState::Live));
  }
}

BOOST_AUTO_TEST_CASE(LaterInstanceOfAnEndpointIsNotLeaving)
{
  this->notices.OnLeaving(this->Key(0), "e0");
  this->fleet = MakeFleet({ 8, 7 });
  this->notices.ApplyTo(*this->fleet);
  BOOST_TEST((this->fleet->endpoints[0].state == EndpointState::Live));
  BOOST_TEST(this->Blocked() == this->none);
}

BOOST_AUTO_TEST_CASE(OtherDaemonsAreToldOfEndpointsThatLeave)
{
  EndpointNotices other{ {}, this->clock };
  int calls = 0;
  other.SetLeavingListener([&] { ++calls; });
  this->notices.OnLeaving(this->Key(0), "e0");
  other.OnReports(this->notices.Reports());
  other.OnReports(this->notices.Reports());
  BOOST_TEST(calls == 1);
  BOOST_TEST(other.BlockedEndpoints(this->fleet) == this->first);
}

/// Guards against reports that two daemons send each other forever.
BOOST_AUTO_TEST_CASE(ReportsEndHoweverOftenTheyAreRepeated)
{
  EndpointNotices other{ {}, this->clock };
  this->notices.OnLeaving(this->Key(0), "e0");
  for (int second = 0; second < 70; ++second) {
    other.OnReports(this->notices.Reports());
    this->notices.OnReports(other.Reports());
    this->clock.Advance(Seconds(1));
  }
  BOOST_TEST(this->notices.Reports().empty());
  BOOST_TEST(other.Reports().empty());
  BOOST_TEST((other.Find(this->Key(0)) == EndpointNotice::Leaving));
}

BOOST_AUTO_TEST_CASE(OldestNoticeIsEvictedFirst)
{
  EndpointNotices few{ { .maximumEndpoints = 2 }, this->clock };
  for (const std::uint64_t key : { 1, 2, 3 }) {
    few.OnLeaving(key, "e");
    this->clock.Advance(Milliseconds(1));
  }
  BOOST_TEST((few.Find(1) == EndpointNotice::None));
  BOOST_TEST((few.Find(2) == EndpointNotice::Leaving));
  BOOST_TEST((few.Find(3) == EndpointNotice::Leaving));
}

BOOST_AUTO_TEST_CASE(EndpointIsBlockedUntilTheEndOfItsLongestBackoff)
{
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(3));
  // An answer that was overtaken asks for less
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(1));
  BOOST_TEST(this->Blocked() == this->first);
  BOOST_TEST((this->notices.UntilUnblocked(this->Key(0)) == Seconds(3)));
  this->clock.Advance(Milliseconds(2999));
  BOOST_TEST(this->Blocked() == this->first);
  this->clock.Advance(Milliseconds(1));
  BOOST_TEST(this->Blocked() == this->none);
  BOOST_TEST(!this->notices.UntilUnblocked(this->Key(0)).has_value());
  BOOST_TEST((this->notices.Find(this->Key(0)) == EndpointNotice::None));
}

/// Guards against a backoff that an answer to a request from before it ends.
BOOST_AUTO_TEST_CASE(AnswersToRequestsFromBeforeDoNotEndABackoff)
{
  const TimePoint before = this->clock.Now();
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(3));
  this->clock.Advance(Seconds(1));
  for (int answer = 0; answer < 20; ++answer) {
    this->notices.OnAccepted(this->Key(0), before);
  }
  BOOST_TEST(this->Blocked() == this->first);
}

/// Guards against all requests that waited for the end of a backoff arriving at once.
BOOST_AUTO_TEST_CASE(EndpointGetsMoreAndMoreRequestsAfterItsBackoff)
{
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(3));
  this->clock.Advance(Seconds(3));
  this->notices.OnSent(this->Key(0));
  BOOST_TEST(this->Blocked() == this->first);
  this->notices.OnAccepted(this->Key(0), this->clock.Now());
  for (int sent = 0; sent < 2; ++sent) {
    BOOST_TEST(this->Blocked() == this->none);
    this->notices.OnSent(this->Key(0));
  }
  BOOST_TEST(this->Blocked() == this->first);
  for (int answer = 0; answer < 7; ++answer) {
    this->notices.OnAccepted(this->Key(0), this->clock.Now());
  }
  for (int sent = 0; sent < 100; ++sent) {
    this->notices.OnSent(this->Key(0));
    BOOST_TEST(this->Blocked() == this->none);
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatAnswersNothingAfterItsBackoffIsTriedEachSecond)
{
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(3));
  this->clock.Advance(Seconds(3));
  for (int sent = 0; sent < 4; ++sent) {
    BOOST_TEST(this->Blocked() == this->none);
    this->notices.OnSent(this->Key(0));
    BOOST_TEST(this->Blocked() == this->first);
    this->clock.Advance(Milliseconds(999));
    BOOST_TEST(this->Blocked() == this->first);
    this->clock.Advance(Milliseconds(1));
  }
}

BOOST_AUTO_TEST_CASE(BackoffsAreNotReportedToOtherDaemons)
{
  this->notices.OnBackoff(this->Key(0), "e0", Seconds(3));
  BOOST_TEST(this->notices.Reports().empty());
}

BOOST_AUTO_TEST_SUITE_END()
