#include "Lagoonward/Admission/PlaceLedger.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kEndpoint = 7;
constexpr std::uint32_t kPlaces = 4;

struct Fixture
{
  /// Sends a message as the primary owner receives it. Returns where the reply appears.
  std::shared_ptr<std::optional<PlaceReply>> Send(PlaceAction aAction, std::uint64_t aLease,
                                                  std::uint32_t aWaitMs = 0, int aPriority = 0,
                                                  std::uint64_t aAccount = 0)
  {
    PlaceMessage message;
    message.endpoint = kEndpoint;
    message.run = aLease % 10;
    message.lease = aLease;
    message.action = aAction;
    message.places = kPlaces;
    message.leaseMs = 3000;
    message.waitMs = aWaitMs;
    message.budgetMs = 1000;
    message.priority = aPriority;
    message.account = aAccount;
    auto reply = std::make_shared<std::optional<PlaceReply>>();
    this->ledger->Handle(message, this->role, this->isStable,
                         [reply](const PlaceReply& aReply) { *reply = aReply; });
    return reply;
  }

  [[nodiscard]] bool Ask(std::uint64_t aLease)
  {
    return this->Send(PlaceAction::Request, aLease)->value().answer == PlaceAnswer::Granted;
  }

  [[nodiscard]] int AskAll(int aCount)
  {
    int granted = 0;
    for (int index = 0; index < aCount; ++index) {
      granted += this->Ask(1000 + static_cast<std::uint64_t>(index)) ? 1 : 0;
    }
    return granted;
  }

  static bool IsGranted(const std::shared_ptr<std::optional<PlaceReply>>& aReply)
  {
    return *aReply && (*aReply)->answer == PlaceAnswer::Granted;
  }

  VirtualClock clock;
  PlaceSettings settings;
  ReserveRole role = ReserveRole::Primary;
  bool isStable = true;
  std::optional<PlaceLedger> ledger{ std::in_place, settings, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlaceLedgerTests, Fixture)

/// Guards against daemons that each send to the last free place of an endpoint, as they know of each other late.
BOOST_AUTO_TEST_CASE(AllDaemonsTogetherTakeNoMorePlacesThanThereAre)
{
  for (const int daemons : { 2, 8, 40, 300, 600 }) {
    this->ledger.emplace(this->settings, this->clock);
    BOOST_TEST(this->AskAll(daemons) == std::min(daemons, static_cast<int>(kPlaces)));
  }
}

BOOST_AUTO_TEST_CASE(ReleasedPlaceGoesToTheRequestThatWaits)
{
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  const auto waiting = this->Send(PlaceAction::Request, 1, 100);
  BOOST_TEST(!waiting->has_value());
  this->Send(PlaceAction::Release, 1000);
  BOOST_TEST(IsGranted(waiting));
  BOOST_TEST(this->ledger->Taken(kEndpoint) == kPlaces);
}

BOOST_AUTO_TEST_CASE(WaitEndsWithTheTimeOfTheNextPlace)
{
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  const auto waiting = this->Send(PlaceAction::Request, 1, 100);
  this->clock.Advance(Milliseconds(100));
  this->ledger->Expire();
  BOOST_REQUIRE(waiting->has_value());
  BOOST_TEST(((*waiting)->answer == PlaceAnswer::Full));
  this->Send(PlaceAction::Release, 1000);
  BOOST_TEST(this->ledger->Taken(kEndpoint) == kPlaces - 1);
}

BOOST_AUTO_TEST_CASE(HigherPriorityGoesFirstThenAccountsTakeTurns)
{
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  const auto first = this->Send(PlaceAction::Request, 1, 500, 0, 11);
  const auto second = this->Send(PlaceAction::Request, 2, 500, 0, 11);
  const auto other = this->Send(PlaceAction::Request, 3, 500, 0, 12);
  const auto urgent = this->Send(PlaceAction::Request, 4, 500, 1, 11);
  this->Send(PlaceAction::Release, 1000);
  BOOST_TEST(IsGranted(urgent));
  this->clock.Advance(Milliseconds(1));
  this->Send(PlaceAction::Release, 1001);
  BOOST_TEST(IsGranted(other));
  this->clock.Advance(Milliseconds(1));
  this->Send(PlaceAction::Release, 1002);
  BOOST_TEST(IsGranted(first));
  BOOST_TEST(!IsGranted(second));
}

/// Guards against requests that wait for a place that they cannot get in time, instead of being refused at once.
BOOST_AUTO_TEST_CASE(RequestThatWouldWaitForTooLongIsRefusedAtOnce)
{
  // The endpoint takes 2 s for a request, so a place becomes free each 500 ms
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  this->clock.Advance(Milliseconds(2000));
  this->Send(PlaceAction::Release, 1000);
  BOOST_TEST(this->Ask(1));
  const auto first = this->Send(PlaceAction::Request, 2, 400);
  const auto second = this->Send(PlaceAction::Request, 3, 400);
  const auto third = this->Send(PlaceAction::Request, 4, 400);
  BOOST_TEST(!first->has_value());
  BOOST_TEST(!second->has_value());
  BOOST_REQUIRE(third->has_value());
  BOOST_TEST((*third)->retryAfterMs == 1500);
}

BOOST_AUTO_TEST_CASE(EndpointThatRejectedGetsNothingForAWhileAndThenNoMoreThanItHad)
{
  BOOST_TEST(this->AskAll(3) == 3);
  this->Send(PlaceAction::ReportRejected, 1002);
  BOOST_TEST(this->ledger->Taken(kEndpoint) == 2);
  this->Send(PlaceAction::Release, 1001);
  BOOST_TEST(!this->Ask(1));
  this->clock.Advance(this->settings.rejectionPause);
  BOOST_TEST(this->Ask(1));
  BOOST_TEST(!this->Ask(2));
  this->clock.Advance(this->settings.recoveryInterval);
  BOOST_TEST(this->Ask(2));
}

/// Guards against two owners that both give out all places of an endpoint while they disagree about who owns it.
BOOST_AUTO_TEST_CASE(BackupAndNewPrimaryGiveOutOnePlaceAtATime)
{
  this->role = ReserveRole::Backup;
  BOOST_TEST(this->AskAll(5) == 1);
  this->Send(PlaceAction::Release, 1000);
  this->isStable = false;
  this->role = ReserveRole::Primary;
  this->ledger.emplace(this->settings, this->clock);
  BOOST_TEST(this->AskAll(5) == 1);
  this->Send(PlaceAction::Declare, 1);
  this->Send(PlaceAction::Declare, 2);
  this->clock.Advance(this->settings.takeoverDelay);
  BOOST_TEST(this->Ask(3));
  BOOST_TEST(!this->Ask(4));
}

BOOST_AUTO_TEST_CASE(BackupThatKnowsAllRequestsTakesOverAtOnce)
{
  this->role = ReserveRole::Backup;
  this->Send(PlaceAction::Declare, 1);
  this->clock.Advance(this->settings.takeoverDelay);
  this->role = ReserveRole::Primary;
  BOOST_TEST(this->AskAll(10) == kPlaces - 1);
}

/// Guards against an owner that gives out all places after it did not own the endpoint for a while, and was told nothing.
BOOST_AUTO_TEST_CASE(OwnerThatOwnsAnEndpointAgainStartsAnew)
{
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  const auto waiting = this->Send(PlaceAction::Request, 1, 100);
  this->ledger->OnOwnersChanged([](std::uint64_t) { return false; });
  BOOST_REQUIRE(waiting->has_value());
  BOOST_TEST(((*waiting)->answer == PlaceAnswer::NotOwner));
  this->clock.Advance(Milliseconds(10000));
  this->isStable = false;
  BOOST_TEST(this->AskAll(kPlaces) == 1);
}

BOOST_AUTO_TEST_CASE(PlacesOfDaemonsThatEndedAndOfLostReleasesBecomeFree)
{
  BOOST_TEST(this->AskAll(kPlaces) == kPlaces);
  this->ledger->OnRunEnded(1001 % 10);
  BOOST_TEST(this->ledger->Taken(kEndpoint) == kPlaces - 1);
  this->Send(PlaceAction::ReleaseLater, 1002);
  BOOST_TEST(this->ledger->Taken(kEndpoint) == kPlaces - 1);
  this->clock.Advance(this->settings.abandonedTime);
  this->ledger->Expire();
  BOOST_TEST(this->ledger->Taken(kEndpoint) == kPlaces - 2);
  this->clock.Advance(Milliseconds(3000));
  this->ledger->Expire();
  BOOST_TEST(this->ledger->Taken(kEndpoint) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
