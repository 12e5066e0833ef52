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
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , origins({}, keyOwners, membership, aClock)
  {
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->origins.OnKeyOwnersChanged();
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
  }

  std::optional<StreamOrigin> Find(std::uint64_t aStream)
  {
    std::promise<std::optional<StreamOrigin>> found;
    this->origins.Find(aStream, [&](const auto& aOrigin) { found.set_value(aOrigin); });
    auto answer = found.get_future();
    BOOST_TEST_REQUIRE((answer.wait_for(kAwaitTimeout) == std::future_status::ready));
    return answer.get();
  }

  MembershipService membership;
  KeyOwnerDirectory keyOwners;
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

BOOST_AUTO_TEST_SUITE_END()
