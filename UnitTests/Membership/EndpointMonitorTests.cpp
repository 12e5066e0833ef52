#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/EndpointMonitor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr std::size_t kRoom = 1000;

std::vector<HostEntry>
MakeEndpoints(std::size_t aCount)
{
  std::vector<HostEntry> hosts;
  for (std::size_t index = 0; index < aCount; ++index) {
    HostEntry host;
    host.id = "engine-" + std::to_string(index);
    hosts.push_back(host);
  }
  return hosts;
}

/// The monitor of a daemon that polls every endpoint itself.
struct Fixture
{
  Fixture() { this->monitor.SetEndpoints(MakeEndpoints(3)); }

  EndpointLoad Reading(int aRunning)
  {
    EndpointLoad load;
    load.running = aRunning;
    load.kvBlocksUsed = 50;
    load.kvBlocksTotal = 100;
    load.models = { { "permit-model", "3", {} } };
    load.asOf = this->clock.WallNow();
    return load;
  }

  const EndpointFact& Fact(const std::string& aId)
  {
    return this->monitor.Facts().at(ToEndpointKey(aId));
  }

  VirtualClock clock;
  EndpointMonitor monitor{ this->clock, 1, EndpointMonitorSettings() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointMonitorTests, Fixture)

BOOST_AUTO_TEST_CASE(EveryEndpointHasTwoPollersAndARemovedOneIsReplaced)
{
  std::vector<PeerKey> daemons{ 1, 2, 3, 4, 5, 6, 7, 8 };
  const auto countPollers = [&] {
    std::size_t count = 0;
    for (const PeerKey self : daemons) {
      EndpointMonitor other(this->clock, self, EndpointMonitorSettings());
      other.SetEndpoints(MakeEndpoints(50));
      other.SetPollers(daemons);
      count += other.PolledCount();
    }
    return count;
  };
  BOOST_TEST(countPollers() == 100U);
  daemons.erase(daemons.begin() + 3);
  BOOST_TEST(countPollers() == 100U);
}

BOOST_AUTO_TEST_CASE(PollsAreDueOncePerInterval)
{
  std::size_t polls = 0;
  for (int step = 0; step < 100; ++step) {
    this->clock.Advance(Milliseconds(100));
    for (const HostEntry& host : this->monitor.DuePolls()) {
      this->monitor.OnPolled(host.id, this->Reading(4));
      ++polls;
    }
  }
  BOOST_TEST(polls >= 27U);
  BOOST_TEST(polls <= 33U);
}

BOOST_AUTO_TEST_CASE(UnfinishedPollIsRepeatedOnlyAfterItsTimeout)
{
  this->clock.Advance(Seconds(1));
  BOOST_TEST(this->monitor.DuePolls().size() == 3U);
  this->clock.Advance(Seconds(2));
  BOOST_TEST(this->monitor.DuePolls().empty());
  this->clock.Advance(Seconds(4));
  BOOST_TEST(this->monitor.DuePolls().size() == 3U);
}

BOOST_AUTO_TEST_CASE(LoadIsDisseminatedWithItsAge)
{
  EndpointMonitor other(this->clock, 2, EndpointMonitorSettings());
  other.SetEndpoints(MakeEndpoints(3));
  this->monitor.OnPolled("engine-1", this->Reading(7));
  this->clock.Advance(Milliseconds(300));
  const auto loads = this->monitor.TakeLoads(kRoom, 1);
  BOOST_TEST_REQUIRE(loads.size() == 1U);
  BOOST_TEST(loads[0].age == 30);
  BOOST_TEST(other.Merge(loads[0]));
  BOOST_TEST(!other.Merge(loads[0]));

  const EndpointFact& fact = other.Facts().at(ToEndpointKey("engine-1"));
  BOOST_TEST(!other.LoadOf(fact).has_value());
  other.AddProfile(*this->monitor.FindProfile(loads[0].profile));
  const auto load = other.LoadOf(fact);
  BOOST_TEST_REQUIRE(load.has_value());
  BOOST_TEST(load->running == 7);
  BOOST_TEST(load->kvBlocksUsed == 50);
  BOOST_TEST(load->models.at(0).name == "permit-model");
  BOOST_TEST((load->asOf == this->clock.WallNow() - Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(OlderLoadDoesNotReplaceANewerOne)
{
  EndpointLoadUpdate newer{ ToEndpointKey("engine-0"), 1000, 0, 0, 5, 0, 1 };
  EndpointLoadUpdate older{ ToEndpointKey("engine-0"), 900, 0, 0, 9, 0, 1 };
  BOOST_TEST(this->monitor.Merge(newer));
  BOOST_TEST(!this->monitor.Merge(older));
  BOOST_TEST(this->Fact("engine-0").load->running == 5);

  // The low 32 bits of the endpoint's clock wrap around
  const EndpointLoadUpdate last{ ToEndpointKey("engine-1"), 0xfffffff0U, 0, 0, 1, 0, 1 };
  const EndpointLoadUpdate wrapped{ ToEndpointKey("engine-1"), 5, 0, 0, 2, 0, 1 };
  BOOST_TEST(this->monitor.Merge(last));
  BOOST_TEST(this->monitor.Merge(wrapped));
}

BOOST_AUTO_TEST_CASE(StaleLoadIsNotReturned)
{
  this->monitor.OnPolled("engine-0", this->Reading(3));
  BOOST_TEST(this->monitor.LoadOf(this->Fact("engine-0")).has_value());
  this->clock.Advance(Seconds(11));
  BOOST_TEST(!this->monitor.LoadOf(this->Fact("engine-0")).has_value());
}

BOOST_AUTO_TEST_CASE(SmallChangesWaitForTheMaximumIntervalAndLargeOnesForTheMinimum)
{
  const auto poll = [&](int aRunning) {
    this->clock.Advance(Seconds(1));
    this->monitor.OnPolled("engine-0", this->Reading(aRunning));
    return this->monitor.TakeLoads(kRoom, 2).size();
  };
  BOOST_TEST(poll(40) == 1U);
  BOOST_TEST(poll(80) == 0U);
  BOOST_TEST(poll(80) == 1U);
  BOOST_TEST(poll(81) == 0U);
  BOOST_TEST(poll(80) == 0U);
  BOOST_TEST(poll(81) == 0U);
  BOOST_TEST(poll(80) == 0U);
  BOOST_TEST(poll(81) == 1U);
}

BOOST_AUTO_TEST_CASE(DisseminationStaysWithinItsByteBudget)
{
  this->monitor.SetEndpoints(MakeEndpoints(5000));
  std::size_t bytes = 0;
  for (int second = 0; second < 10; ++second) {
    this->clock.Advance(Seconds(1));
    for (const HostEntry& host : MakeEndpoints(5000)) {
      this->monitor.OnPolled(host.id, this->Reading(second * 50));
    }
    for (auto loads = this->monitor.TakeLoads(kRoom, 2); !loads.empty();
         loads = this->monitor.TakeLoads(kRoom, 2)) {
      bytes += 2 * loads.size() * kEndpointLoadUpdateBytes;
    }
  }
  BOOST_TEST(bytes <= 11 * EndpointMonitorSettings().loadBytesPerSecond);
  BOOST_TEST(bytes >= 9 * EndpointMonitorSettings().loadBytesPerSecond);
}

BOOST_AUTO_TEST_CASE(LeavingIsFinalAndAcceptedBeforeTheHostListNamesTheEndpoint)
{
  BOOST_TEST(this->monitor.Report("engine-0", EndpointState::Leaving, Seconds(30)));
  BOOST_TEST(!this->monitor.Report("engine-0", EndpointState::Leaving, Seconds(30)));
  const auto states = this->monitor.TakeStates(10);
  BOOST_TEST_REQUIRE(states.size() == 1U);
  BOOST_TEST(states[0].graceLeft == 30000U);
  BOOST_TEST(!this->monitor.Merge(
    EndpointStateUpdate{ ToEndpointKey("engine-0"), EndpointState::Live, 99, 0 }));
  BOOST_TEST((this->Fact("engine-0").state == EndpointState::Leaving));

  // Not listed yet: disseminated, and applied once the list names the endpoint
  BOOST_TEST(this->monitor.Report("engine-9", EndpointState::Leaving, Seconds(30)));
  BOOST_TEST(this->monitor.TakeStates(10).size() == 1U);
  this->monitor.SetEndpoints(MakeEndpoints(10));
  BOOST_TEST((this->Fact("engine-9").state == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(UpdateOfAnUnlistedEndpointIsNotDisseminated)
{
  BOOST_TEST(this->monitor.Report("engine-0", EndpointState::Leaving, Seconds(30)));
  const EndpointStateUpdate fact = this->monitor.TakeStates(1).front();
  this->monitor.SetEndpoints({});
  BOOST_TEST(!this->monitor.Merge(fact));
  BOOST_TEST(this->monitor.TakeStates(10).empty());
}

BOOST_AUTO_TEST_CASE(UnresponsiveEndpointIsEjectedAndRestoredWhenItResponds)
{
  const Error refused(ErrorKind::EndpointFailed, "no connection");
  this->monitor.OnPolled("engine-0", refused);
  this->monitor.OnPolled("engine-0", refused);
  BOOST_TEST((this->Fact("engine-0").state == EndpointState::Live));
  this->monitor.OnPolled("engine-0", refused);
  BOOST_TEST((this->Fact("engine-0").state == EndpointState::Ejected));
  this->monitor.OnPolled("engine-0", this->Reading(1));
  BOOST_TEST((this->Fact("engine-0").state == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(EndpointThatAnotherPollerReadsIsNotEjected)
{
  const Error refused(ErrorKind::EndpointFailed, "no connection");
  for (int round = 0; round < 10; ++round) {
    this->clock.Advance(Seconds(1));
    this->monitor.OnPolled("engine-0", refused);
    const auto asOf = static_cast<std::uint32_t>(1000 + round);
    this->monitor.Merge(EndpointLoadUpdate{ ToEndpointKey("engine-0"), asOf, 0, 0, 1, 0, 1 });
  }
  BOOST_TEST((this->Fact("engine-0").state == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(DigestsAreEqualIfAndOnlyIfStatesAre)
{
  EndpointMonitor other(this->clock, 2, EndpointMonitorSettings());
  other.SetEndpoints(MakeEndpoints(3));
  BOOST_TEST(this->monitor.StateDigest() == other.StateDigest());
  this->monitor.Report("engine-2", EndpointState::Leaving, Seconds(5));
  BOOST_TEST(this->monitor.StateDigest() != other.StateDigest());
  for (const EndpointStateUpdate& fact : this->monitor.AllStates()) {
    other.Merge(fact);
  }
  BOOST_TEST(this->monitor.StateDigest() == other.StateDigest());
}

BOOST_AUTO_TEST_SUITE_END()
