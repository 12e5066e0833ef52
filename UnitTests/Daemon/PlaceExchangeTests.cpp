#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/PlaceExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kService = "s";
constexpr std::string_view kEndpoint = "endpoint";
constexpr int kPlaces = 3;

/// One daemon that sends requests to a brittle endpoint.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , brittle({}, aClock)
    , registry(aClock)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , places({}, keyOwners, membership, registry, brittle, aClock)
    , clock(aClock)
  {
    this->registry.SetRun(static_cast<std::uint64_t>(aIndex) + 100);
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->places.OnPeers(*aView);
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
    this->membership.Loop().Run([this] { this->places.Start(); });
  }

  [[nodiscard]] PlaceUse Use() const
  {
    return { std::string(kService), HashBytes(kEndpoint), kPlaces,
             this->clock.Now() + Seconds(30) };
  }

  /// Asks for a place; holds it if it is granted.
  PlaceAnswer Ask()
  {
    const PlaceMessage request = this->registry.MakeRequest(this->Use());
    std::promise<PlaceReply> reply;
    this->places.RequestPlace(request,
                              [&reply](const PlaceReply& aReply) { reply.set_value(aReply); });
    auto answered = reply.get_future();
    BOOST_TEST_REQUIRE((answered.wait_for(kAwaitTimeout) == std::future_status::ready));
    const PlaceAnswer answer = answered.get().answer;
    if (answer == PlaceAnswer::Granted) {
      this->holds.emplace_back(this->registry, this->places, this->Use(), request.lease);
    }
    return answer;
  }

  MembershipService membership;
  BrittleServices brittle;
  PlaceRegistry registry;
  KeyOwnerDirectory keyOwners;
  PlaceExchange places;
  const Clock& clock;
  std::vector<PlaceHold> holds;
};

struct Fleet : LoopbackFleet<Daemon, 4>
{
  Fleet()
  {
    // Owners give out all places once the list of daemons is stable
    Await([this] {
      return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon->keyOwners.IsStableFor(PlaceSettings{}.takeoverDelay);
      });
    });
  }

  ~Fleet()
  {
    for (const auto& daemon : this->daemons) {
      daemon->holds.clear();
    }
  }

  int Held()
  {
    std::size_t held = 0;
    for (const auto& daemon : this->daemons) {
      held += daemon->holds.size();
    }
    return static_cast<int>(held);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlaceExchangeTests, Fleet)

/// Guards against daemons that count an endpoint's requests each on its own: together they sent it more than it runs.
BOOST_AUTO_TEST_CASE(AllDaemonsTogetherGetAsManyPlacesAsThereAre)
{
  for (int round = 0; round < 3; ++round) {
    for (const auto& daemon : this->daemons) {
      daemon->Ask();
    }
  }
  BOOST_TEST(this->Held() == kPlaces);
  for (const auto& daemon : this->daemons) {
    daemon->holds.clear();
  }
  // Places of abandoned requests become free later
  Await([this] { return this->daemons[3]->Ask() == PlaceAnswer::Granted; });
}

BOOST_AUTO_TEST_CASE(RequestsFromBeforeAreDeclaredToTheOwners)
{
  for (const auto& daemon : this->daemons) {
    daemon->holds.emplace_back(daemon->registry, daemon->places, daemon->Use(), 0);
    daemon->brittle.OnBrittleAnswer(kService, kEndpoint, 1);
  }
  Await([this] { return this->daemons[1]->Ask() == PlaceAnswer::Full; });
  BOOST_TEST((this->daemons[2]->Ask() != PlaceAnswer::Granted));
}

BOOST_AUTO_TEST_CASE(BackupKnowsTheRequestsWhenThePrimaryHasStopped)
{
  const KeyOwners owners = this->OwnersOf(HashBytes(kEndpoint));
  const std::size_t primary = LoopbackIndexOf(owners.primary->key);
  std::size_t asker = 0;
  while (asker == primary || asker == LoopbackIndexOf(owners.backup->key)) {
    ++asker;
  }
  for (int place = 0; place < kPlaces; ++place) {
    BOOST_TEST((this->daemons[asker]->Ask() == PlaceAnswer::Granted));
  }
  // The backup has been told of them
  std::this_thread::sleep_for(Milliseconds(200));
  this->daemons[primary]->membership.Stop();
  BOOST_TEST((this->daemons[asker]->Ask() == PlaceAnswer::Full));
}

BOOST_AUTO_TEST_SUITE_END()
