#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/HostListDistribution.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonward;

namespace {

HostEntry
MakeHost(const std::string& aId, HostEntry::Kind aKind, const std::string& aRegion)
{
  return { aId, aKind, "127.0.0.1", 4000, "domain", aRegion, "small", "", false };
}

std::vector<HostEntry>
MakeHosts()
{
  return { MakeHost("daemon-0", HostEntry::Kind::Daemon, "here"),
           MakeHost("daemon-1", HostEntry::Kind::Daemon, "there"),
           MakeHost("engine-0", HostEntry::Kind::Engine, "here"),
           MakeHost("engine-1", HostEntry::Kind::Engine, "there"),
           MakeHost("portal-0", HostEntry::Kind::Service, "here") };
}

struct Fixture
{
  VirtualClock clock;
  HostListDistribution distribution{ this->clock, "here", HostListSettings() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostListDistributionTests, Fixture)

BOOST_AUTO_TEST_CASE(SharedListOmitsEndpointsOfOtherRegions)
{
  const auto state = this->distribution.OnRead(MakeHosts());
  BOOST_TEST_REQUIRE(state.has_value());
  BOOST_TEST(state->IsRegional());
  HostListDistribution other(this->clock, "here", HostListSettings());
  const auto hosts = other.ApplyShared(*state);
  BOOST_TEST_REQUIRE(hosts.has_value());
  BOOST_TEST(hosts.value().size() == 4U);
  BOOST_TEST((hosts.value().back().kind == HostEntry::Kind::Service));
  BOOST_TEST(hosts.value().back().port == 4000);
}

BOOST_AUTO_TEST_CASE(OnlyChangedListsArePublishedAndAtMostOncePerInterval)
{
  auto hosts = MakeHosts();
  BOOST_TEST(this->distribution.OnRead(hosts).has_value());
  std::reverse(hosts.begin(), hosts.end());
  BOOST_TEST(!this->distribution.OnRead(hosts).has_value());
  hosts.back().leaving = true;
  this->clock.Advance(Seconds(1));
  BOOST_TEST(!this->distribution.OnRead(hosts).has_value());
  this->clock.Advance(Seconds(4));
  BOOST_TEST(this->distribution.OnRead(hosts).has_value());
}

BOOST_AUTO_TEST_CASE(ReaderWithAnOlderListDoesNotReplaceANewerSharedList)
{
  HostListDistribution ahead(this->clock, "here", HostListSettings());
  const auto old = MakeHosts();
  auto next = old;
  next.push_back(MakeHost("engine-9", HostEntry::Kind::Engine, "here"));
  BOOST_TEST(this->distribution.OnRead(old).has_value());
  BOOST_TEST(this->distribution.ApplyShared(*ahead.OnRead(next)).has_value());
  for (int second = 0; second < 20; ++second) {
    this->clock.Advance(Seconds(1));
    BOOST_TEST(!this->distribution.OnRead(old).has_value());
  }
  BOOST_TEST(!this->distribution.OnRead(next).has_value());
}

BOOST_AUTO_TEST_CASE(MalformedSharedListIsRejected)
{
  auto state = *this->distribution.OnRead(MakeHosts());
  state.bytes.pop_back();
  BOOST_TEST(!this->distribution.ApplyShared(state).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
