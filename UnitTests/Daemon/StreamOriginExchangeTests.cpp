#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/StreamOriginExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const StreamOrigin kOrigin{ "s", "v1" };
constexpr std::uint64_t kStreams = 40;

/// One daemon that begins streams.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : clock(aClock)
    , membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , versions(aClock)
    , origins({}, keyOwners, membership, versions, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->origins.OnKeyOwnersChanged();
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  StreamOriginReply Ask(std::uint64_t aStream, Milliseconds aMaximumAge = Milliseconds(0))
  {
    std::promise<StreamOriginReply> found;
    this->origins.Find({ aStream, "s", aMaximumAge },
                       [&](const StreamOriginReply& aReply) { found.set_value(aReply); });
    auto answer = found.get_future();
    BOOST_TEST_REQUIRE((answer.wait_for(kAwaitTimeout) == std::future_status::ready));
    return answer.get();
  }

  std::optional<StreamOrigin> Find(std::uint64_t aStream) { return this->Ask(aStream).origin; }

  /// The daemon's snapshot shows that the service runs these versions, and is current.
  void SetVersions(const std::vector<std::string>& aVersions)
  {
    FleetSnapshot fleet;
    for (const std::string& version : aVersions) {
      Endpoint endpoint;
      endpoint.name = "s";
      endpoint.softwareVersion = version;
      fleet.endpoints.push_back(endpoint);
    }
    this->versions.OnSnapshot(fleet);
    this->versions.OnCurrent(this->clock.BootNow());
  }

  const Clock& clock;
  MembershipService membership;
  KeyOwnerDirectory keyOwners;
  SoftwareVersionHistory versions;
  StreamOriginExchange origins;
};

struct Fleet : LoopbackFleet<Daemon, 5>
{
  /// Records the origins of streams at the first daemon and waits until others have copies of them.
  void RecordStreams()
  {
    for (std::uint64_t stream = 0; stream < kStreams; ++stream) {
      this->daemons[0]->origins.Record(stream, kOrigin);
    }
    this->AwaitCopies(this->ExpectedCopies());
  }

  /// Copies of these streams at daemons other than the first one.
  [[nodiscard]] std::size_t Copies()
  {
    std::size_t copies = 0;
    for (std::size_t index = 1; index < this->daemons.size(); ++index) {
      copies += this->daemons[index]->origins.Size();
    }
    return copies;
  }

  /// Two for each stream, less those for which the first daemon is an owner itself.
  [[nodiscard]] static std::size_t ExpectedCopies() { return kStreams; }

  void AwaitCopies(std::size_t aCount)
  {
    Await([&] { return this->Copies() >= aCount; });
  }

  [[nodiscard]] int FoundAt(std::size_t aDaemon)
  {
    int found = 0;
    for (std::uint64_t stream = 0; stream < kStreams; ++stream) {
      found += this->daemons[aDaemon]->Find(stream) == kOrigin ? 1 : 0;
    }
    return found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginExchangeTests, Fleet)

BOOST_AUTO_TEST_CASE(OriginIsFoundFromEveryDaemon)
{
  this->RecordStreams();
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    Await([&] { return this->FoundAt(index) == static_cast<int>(kStreams); });
  }
  BOOST_TEST(!this->daemons[3]->Find(kStreams + 1).has_value());
}

// Guards against copies whose number grows with the daemons
BOOST_AUTO_TEST_CASE(OriginIsCopiedToItsOwnersOnly)
{
  this->RecordStreams();
  std::this_thread::sleep_for(Milliseconds(200));
  BOOST_TEST(this->Copies() <= 2 * kStreams);
}

// Guards against streams that nobody knows any more once the daemon that began them and one of their owners are gone
BOOST_AUTO_TEST_CASE(OriginSurvivesDaemonsThatStopOneAfterTheOther)
{
  this->RecordStreams();
  for (const std::size_t stopped : { std::size_t{ 0 }, std::size_t{ 1 } }) {
    this->daemons[stopped]->membership.Stop();
    Await([&] { return this->daemons[4]->membership.Peers()->peers.size() == 3 - stopped; });
    // Until the remaining owners have sent what they hold to the new ones
    Await([&] { return this->FoundAt(4) == static_cast<int>(kStreams); });
  }
  BOOST_TEST(this->FoundAt(3) == static_cast<int>(kStreams));
}

// Guards against a daemon that leaves with origins that its successors do not have
BOOST_AUTO_TEST_CASE(OriginsOfADaemonThatDrainsMoveToNewOwners)
{
  this->RecordStreams();
  for (const std::size_t drained : { 1, 2 }) {
    Daemon& daemon = *this->daemons[drained];
    daemon.keyOwners.Drain();
    daemon.membership.Loop().Run([&] { daemon.origins.OnKeyOwnersChanged(); });
    daemon.membership.Drain();
    std::this_thread::sleep_for(Milliseconds(300));
    daemon.membership.Stop();
  }
  this->daemons[0]->membership.Stop();
  Await([&] { return this->FoundAt(3) == static_cast<int>(kStreams); });
}

// Guards against refusing all streams without a recorded origin at a daemon that has just started, and against taking one
// version for the only one that a daemon which knows more has seen beside others
BOOST_AUTO_TEST_CASE(OnlyVersionOfAServiceIsToldByDaemonsThatHaveKnownItLongEnough)
{
  constexpr Milliseconds kAge{ 300 };
  for (std::size_t index = 1; index < this->daemons.size(); ++index) {
    this->daemons[index]->SetVersions({ "v1" });
  }
  std::this_thread::sleep_for(2 * kAge);
  this->daemons[0]->SetVersions({ "v1" });
  BOOST_TEST((this->daemons[0]->Ask(1, kAge).soleVersion == "v1"));
  BOOST_TEST(!this->daemons[0]->Ask(1, Seconds(100)).soleVersion.has_value());
  for (std::size_t index = 1; index < this->daemons.size(); ++index) {
    this->daemons[index]->SetVersions({ "v1", "v2" });
  }
  BOOST_TEST(!this->daemons[0]->Ask(1, kAge).soleVersion.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
