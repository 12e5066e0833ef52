#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Daemon/SlotExchange.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <limits>
#include <map>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kService = "s";
constexpr int kEndpoints = 2;
constexpr int kSlotsPerEndpoint = 2;
constexpr int kSlots = kEndpoints * kSlotsPerEndpoint;
constexpr Milliseconds kLease{ 30'000 };

QueuePoolsPtr
MakePools()
{
  FleetSnapshot fleet;
  for (int index = 0; index < kEndpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = "endpoint-" + std::to_string(index);
    endpoint.name = kService;
    endpoint.sequences = kSlotsPerEndpoint;
    fleet.endpoints.push_back(std::move(endpoint));
  }
  return std::make_shared<const QueuePools>(fleet, QueuePoolSettings{},
                                            [](std::string_view) { return true; });
}

/// One daemon that sends requests to the endpoints of one pool.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex)
    : membership(aClock, LoopbackIdentity(aIndex), LoopbackKeys(), {}, IgnorePoll)
    , registry(aClock)
    , keyOwners(LoopbackIdentity(aIndex).self, aClock)
    , slots({}, LoopbackIdentity(aIndex).self.Key(), keyOwners, membership, registry, aClock)
    , pools(MakePools())
  {
    this->registry.SetRun(static_cast<std::uint64_t>(aIndex) + 100);
    this->membership.OnPeers([this](const PeerViewPtr& aView) {
      this->keyOwners.OnPeers(*aView);
      this->slots.OnPeers(*aView);
    });
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
    this->membership.Loop().Run([this] {
      this->slots.SetPools(this->pools);
      this->slots.Start();
    });
  }

  [[nodiscard]] std::uint64_t Pool() const { return this->pools->PoolsOf(kService).front().key; }

  [[nodiscard]] SlotMessage MakeRequest()
  {
    SlotMessage request;
    this->registry.Identify(request);
    request.pool = this->Pool();
    request.leaseMs = static_cast<std::uint32_t>(kLease.count());
    request.targetMs = request.leaseMs;
    request.budgetMs = request.leaseMs;
    return request;
  }

  [[nodiscard]] std::future<SlotReply> Send(const SlotMessage& aRequest)
  {
    const auto reply = std::make_shared<std::promise<SlotReply>>();
    this->slots.RequestSlot(aRequest,
                            [reply](const SlotReply& aReply) { reply->set_value(aReply); });
    return reply->get_future();
  }

  [[nodiscard]] static SlotReply Receive(std::future<SlotReply> aReply)
  {
    BOOST_TEST_REQUIRE((aReply.wait_for(kAwaitTimeout) == std::future_status::ready));
    return aReply.get();
  }

  void Hold(SlotMessage aRequest, const SlotReply& aGranted)
  {
    aRequest.grantedBy = aGranted.owner;
    this->holds.emplace_back(this->registry, this->slots, aRequest, aGranted.endpoint);
  }

  /// Asks for a slot; holds it if it is granted.
  SlotAnswer Ask()
  {
    const SlotMessage request = this->MakeRequest();
    const SlotReply reply = Receive(this->Send(request));
    if (reply.answer == SlotAnswer::Granted) {
      this->Hold(request, reply);
    }
    return reply.answer;
  }

  /// Requests in flight, by endpoint.
  [[nodiscard]] std::map<std::uint64_t, int> InFlight() const
  {
    std::map<std::uint64_t, int> counts;
    for (const SlotMessage& declaration : this->registry.Declarations()) {
      ++counts[declaration.endpoint];
    }
    return counts;
  }

  /// Asks until a slot is granted.
  void AwaitGrant()
  {
    bool isGranted = false;
    Await([&] {
      isGranted = isGranted || this->Ask() == SlotAnswer::Granted;
      return isGranted;
    });
  }

  /// Asks for a slot and forgets it, as a process that ends does.
  SlotAnswer AskWithoutHold() { return Receive(this->Send(this->MakeRequest())).answer; }

  /// Occupies the control thread.
  void Block(Milliseconds aTime)
  {
    this->membership.Loop().Post([aTime] { std::this_thread::sleep_for(aTime); });
  }

  MembershipService membership;
  SlotRegistry registry;
  KeyOwnerDirectory keyOwners;
  SlotExchange slots;
  QueuePoolsPtr pools;
  std::vector<SlotHold> holds;
};

struct Fleet : LoopbackFleet<Daemon, 4>
{
  ~Fleet()
  {
    for (const auto& daemon : this->daemons) {
      daemon->holds.clear();
    }
  }

  [[nodiscard]] std::uint64_t Pool() const { return this->daemons[0]->Pool(); }
  [[nodiscard]] Daemon& Primary() const
  {
    return *this->daemons[LoopbackIndexOf(this->OwnersOf(this->Pool()).primary->key)];
  }
  [[nodiscard]] Daemon& Backup() const
  {
    return *this->daemons[LoopbackIndexOf(this->OwnersOf(this->Pool()).backup->key)];
  }

  /// A daemon that does not own the pool.
  [[nodiscard]] Daemon& Other() const
  {
    const auto found =
      std::find_if(this->daemons.begin(), this->daemons.end(), [this](const auto& aEach) {
        return aEach.get() != &this->Primary() && aEach.get() != &this->Backup();
      });
    return **found;
  }

  [[nodiscard]] int Held() const
  {
    std::size_t held = 0;
    for (const auto& daemon : this->daemons) {
      held += daemon->holds.size();
    }
    return static_cast<int>(held);
  }
};

/// Sends bytes to the owner as another daemon would, and waits for the reply.
SlotReply
SendBytes(Daemon& aFrom, const PeerAddress& aTo, const std::string& aBytes)
{
  const auto reply = std::make_shared<std::promise<Result<std::string>>>();
  aFrom.membership.Loop().Post([&aFrom, aTo, aBytes, reply] {
    aFrom.membership.Transport().Request(
      aTo, ToRequestType(PeerRequest::PoolSlot), aBytes, Seconds(5),
      [reply](const Result<std::string>& aResponse) { reply->set_value(aResponse); });
  });
  auto received = reply->get_future();
  BOOST_TEST_REQUIRE((received.wait_for(kAwaitTimeout) == std::future_status::ready));
  const Result<std::string> response = received.get();
  BOOST_TEST_REQUIRE(response.has_value());
  const auto decoded = DecodeMessage<SlotReply>(response.value());
  BOOST_TEST_REQUIRE(decoded.has_value());
  return decoded.value();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotExchangeTests, Fleet)

/// Guards against daemons that count an endpoint's requests each on its own: together they send it more than it runs.
BOOST_AUTO_TEST_CASE(AllDaemonsTogetherGetAsManySlotsAsThePoolHas)
{
  for (int round = 0; round < 3; ++round) {
    for (const auto& daemon : this->daemons) {
      daemon->Ask();
      BOOST_TEST(this->Held() <= kSlots);
    }
  }
  BOOST_TEST(this->Held() == kSlots);
  for (const auto& daemon : this->daemons) {
    for (SlotHold& hold : daemon->holds) {
      hold.End(SlotAction::Complete);
    }
    daemon->holds.clear();
  }
  for (int index = 0; index < kSlots; ++index) {
    this->daemons[1]->AwaitGrant();
  }
  BOOST_TEST((this->daemons[2]->Ask() != SlotAnswer::Granted));
}

/// Guards against a pool that gives out nothing after its owner has died, and against a new owner that gives out the slots
/// of requests that are still in flight.
BOOST_AUTO_TEST_CASE(RequestsAreGrantedAndThoseInFlightDeclaredAfterTheOwnerHasStopped)
{
  Daemon& asker = this->Other();
  Daemon& backup = this->Backup();
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.Ask() == SlotAnswer::Granted));
  }
  this->Primary().membership.Stop();
  asker.holds.back().End(SlotAction::Complete);
  asker.holds.pop_back();
  const TimePoint stoppedAt = this->clock.Now();
  asker.AwaitGrant();
  BOOST_TEST(ToSeconds(this->clock.Now() - stoppedAt) < 2.0);
  Await([&] { return backup.slots.State().takenSlots == this->Held(); });
  // It has given out one slot before it knew of the others; now it counts them all
  std::map<std::uint64_t, int> inFlight = asker.InFlight();
  while (asker.Ask() == SlotAnswer::Granted) {
    for (const auto& [endpoint, count] : asker.InFlight()) {
      BOOST_TEST((count == inFlight[endpoint] || count <= kSlotsPerEndpoint));
    }
    inFlight = asker.InFlight();
  }
  BOOST_TEST(this->Held() <= kSlots + 1);
}

/// Guards against slots that stay taken by requests of a process that has ended without a message about them.
BOOST_AUTO_TEST_CASE(SlotsOfAReplacedProcessAreFree)
{
  Daemon& asker = this->Other();
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.AskWithoutHold() == SlotAnswer::Granted));
  }
  BOOST_TEST((this->Backup().Ask() == SlotAnswer::Refused));
  asker.registry.SetRun(999);
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.Ask() == SlotAnswer::Granted));
  }
}

/// The same for a daemon that is not started again.
BOOST_AUTO_TEST_CASE(SlotsOfAStoppedDaemonAreFree)
{
  Daemon& asker = this->Other();
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.AskWithoutHold() == SlotAnswer::Granted));
  }
  asker.membership.Stop();
  this->Backup().AwaitGrant();
}

/// Guards against requests that are refused because the daemon that they ask no longer owns the pool.
BOOST_AUTO_TEST_CASE(NextOwnerIsUsedWhenTheOwnerDrains)
{
  Daemon& primary = this->Primary();
  Daemon& backup = this->Backup();
  primary.keyOwners.Drain();
  primary.membership.Loop().Run([&] { primary.slots.OnOwnersChanged(); });
  const PeerAddress address = *this->OwnersOf(this->Pool()).primary;
  const SlotMessage request = this->Other().MakeRequest();
  BOOST_TEST(
    (SendBytes(this->Other(), address, EncodeMessage(request)).answer == SlotAnswer::NotOwner));
  const TimePoint askedAt = this->clock.Now();
  BOOST_TEST((this->Other().Ask() == SlotAnswer::Granted));
  // The reply of the draining owner is not waited for until its timeout
  BOOST_TEST(ToSeconds(this->clock.Now() - askedAt) < 0.2);
  BOOST_TEST((primary.Ask() == SlotAnswer::Granted));
  BOOST_TEST(backup.slots.State().takenSlots == 2);
}

/// Guards against requests that wait at an owner that drains until their deadline.
BOOST_AUTO_TEST_CASE(WaitingRequestIsAnsweredWhenTheOwnerDrains)
{
  Daemon& primary = this->Primary();
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((this->Other().Ask() == SlotAnswer::Granted));
  }
  SlotMessage request = primary.MakeRequest();
  request.waitMs = 10'000;
  auto reply = primary.Send(request);
  Await([&] { return primary.slots.State().waiting == 1; });
  primary.keyOwners.Drain();
  primary.membership.Loop().Run([&] { primary.slots.OnOwnersChanged(); });
  const SlotReply received = Daemon::Receive(std::move(reply));
  BOOST_TEST((received.answer == SlotAnswer::NotOwner));
}

/// Guards against a message that cannot be decoded or has impossible values: it must not stop the owner or be left without
/// a reply.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreAnsweredAndTakeNoSlot)
{
  Daemon& asker = this->Other();
  const PeerAddress owner = *this->OwnersOf(this->Pool()).primary;
  SlotMessage withoutWork = asker.MakeRequest();
  withoutWork.work = 0;
  SlotMessage withoutNumber = asker.MakeRequest();
  withoutNumber.work = std::numeric_limits<float>::quiet_NaN();
  SlotMessage withoutWeight = asker.MakeRequest();
  withoutWeight.weight = -1;
  SlotMessage withUnknownAction = asker.MakeRequest();
  withUnknownAction.action = static_cast<SlotAction>(200);
  const std::string complete = EncodeMessage(asker.MakeRequest());
  for (const std::string& bytes :
       { std::string(), std::string("x"), complete.substr(0, complete.size() / 2),
         EncodeMessage(withoutWork), EncodeMessage(withoutNumber), EncodeMessage(withoutWeight),
         EncodeMessage(withUnknownAction) }) {
    BOOST_TEST((SendBytes(asker, owner, bytes).answer == SlotAnswer::NotOwner));
  }
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.Ask() == SlotAnswer::Granted));
  }
}

/// Guards against slots that stay taken by a request that has given up before the owners' replies came: only the primary was
/// told that the request is gone, also where the backup had granted the slot.
BOOST_AUTO_TEST_CASE(SlotThatIsGrantedTooLateIsGivenBackToItsOwner)
{
  Daemon& asker = this->Other();
  const Milliseconds untilGivenUp = Milliseconds(2 * 250);
  const Milliseconds pause = untilGivenUp + Milliseconds(150);
  this->Primary().Block(pause);
  this->Backup().Block(pause);
  BOOST_TEST((asker.AskWithoutHold() == SlotAnswer::NotOwner));
  // Each grants a slot after its pause
  for (const Daemon* owner : { &this->Primary(), &this->Backup() }) {
    Await([&] { return owner->slots.State().counts.granted == 1; });
    Await([&] { return owner->slots.State().takenSlots == 0; });
  }
}

/// Guards against a request in flight that the primary does not count, as the backup has granted its slot.
BOOST_AUTO_TEST_CASE(RequestGrantedByTheBackupIsDeclaredToThePrimary)
{
  Daemon& asker = this->Other();
  Daemon& primary = this->Primary();
  primary.Block(Milliseconds(450));
  BOOST_TEST((asker.Ask() == SlotAnswer::Granted));
  BOOST_TEST(this->Backup().slots.State().takenSlots == 1);
  // Its own grant has come too late
  Await([&] { return primary.slots.State().counts.granted == 1; });
  std::this_thread::sleep_for(Milliseconds(500));
  BOOST_TEST(primary.slots.State().takenSlots == 1);
  asker.holds.front().End(SlotAction::Complete);
  for (const Daemon* owner : { &primary, &this->Backup() }) {
    Await([&] { return owner->slots.State().takenSlots == 0; });
  }
}

/// Guards against an owner that does not count requests in flight: they were declared to it once only, before it knew that it
/// owns the pool.
BOOST_AUTO_TEST_CASE(RequestsAreDeclaredUntilTheNewOwnerKnowsThePool)
{
  Daemon& asker = this->Other();
  Daemon& backup = this->Backup();
  const PeerKey backupKey = this->OwnersOf(this->Pool()).backup->key;
  for (int index = 0; index < kSlots; ++index) {
    BOOST_TEST((asker.Ask() == SlotAnswer::Granted));
  }
  backup.membership.Loop().Run(
    [&] { backup.slots.SetPools(std::make_shared<const QueuePools>()); });
  this->Primary().membership.Stop();
  Await([&] { return asker.keyOwners.OtherOwnersOf(this->Pool()).front().key == backupKey; });
  std::this_thread::sleep_for(Milliseconds(500));
  backup.membership.Loop().Run([&] { backup.slots.SetPools(backup.pools); });
  Await([&] { return backup.slots.State().takenSlots == kSlots; });
}

/// Guards against a daemon that ends with an exception: the list of excluded endpoints was too long for its length field.
BOOST_AUTO_TEST_CASE(RequestThatExcludesManyEndpointsIsAnswered)
{
  SlotMessage request = this->Other().MakeRequest();
  for (std::uint64_t key = 1; key <= 300; ++key) {
    request.excluded.push_back(key);
  }
  BOOST_TEST((Daemon::Receive(this->Other().Send(request)).answer == SlotAnswer::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
