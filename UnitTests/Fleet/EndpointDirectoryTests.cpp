#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Fleet/EndpointDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

Endpoint
MakeEndpoint(const std::string& aId, EndpointState aState = EndpointState::Live)
{
  Endpoint endpoint;
  endpoint.id = aId;
  endpoint.address = "127.0.0.1";
  endpoint.port = 1000;
  endpoint.state = aState;
  return endpoint;
}

/// Applies everything that is due.
/// @return whether the snapshot has changed
bool
Tick(EndpointDirectory& aDirectory)
{
  const bool hasApplied = !aDirectory.ApplyHeldRemovals().empty();
  return aDirectory.EvictRemoved() || hasApplied;
}

/// Removes an entry.
/// @return whether the removal takes effect at once
bool
Remove(EndpointDirectory& aDirectory, const std::string& aId)
{
  return aDirectory.OnRemoved(aId) == RemovalOutcome::InForce;
}

/// Handles an entry.
/// @return whether the snapshot has changed
bool
Enter(EndpointDirectory& aDirectory, const Endpoint& aEndpoint)
{
  return aDirectory.OnEntry(aEndpoint) != EntryOutcome::Unchanged;
}

/// Removes all entries, as a full read without any entry does.
/// @return whether the snapshot has changed
bool
RemoveAll(EndpointDirectory& aDirectory)
{
  bool changed = false;
  const FleetSnapshotPtr before = aDirectory.Snapshot();
  for (const Endpoint& endpoint : before->endpoints) {
    changed = Remove(aDirectory, endpoint.id) || changed;
  }
  return changed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointDirectoryTests)

BOOST_AUTO_TEST_CASE(RemovedEndpointIsLeavingUntilRetentionEnds)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  BOOST_TEST(Enter(directory, MakeEndpoint("a")));
  BOOST_TEST(!Enter(directory, MakeEndpoint("a")));
  BOOST_TEST(Remove(directory, "a"));
  BOOST_TEST(!Remove(directory, "a"));
  // It is kept as leaving so that its streams can still be moved
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Leaving));
  clock.Advance(Seconds(9));
  BOOST_TEST(!Tick(directory));
  clock.Advance(Seconds(2));
  BOOST_TEST(Tick(directory));
  BOOST_TEST(directory.Snapshot()->endpoints.empty());
}

BOOST_AUTO_TEST_CASE(RemovalTakesEffectIfOthersSawSourceDuringWholeOutage)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectory directory({}, clock);
  const TimePoint testStart = clock.Now();
  directory.OnEntry(MakeEndpoint("a"));
  directory.OnEntry(MakeEndpoint("b"));
  clock.Advance(Seconds(10));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  directory.SetSourceAvailable(true);

  // Observed before this host's outage and in its last second only: the source may have been unavailable to all
  directory.AddSourceAvailability({ testStart, testStart + Seconds(10) });
  BOOST_TEST(!Remove(directory, "a"));
  directory.AddSourceAvailability({ testStart + Seconds(14), testStart + Seconds(15) });
  BOOST_TEST(!Remove(directory, "a"));
  BOOST_TEST(!Tick(directory));

  // Observed during the whole outage: the delayed removal takes effect as well
  directory.AddSourceAvailability({ testStart, testStart + Seconds(15) });
  BOOST_TEST(Remove(directory, "b"));
  BOOST_TEST(Tick(directory));
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(RemovalTakesEffectDuringOwnOutageWhileOthersSeeSource)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectory directory({}, clock);
  const TimePoint testStart = clock.Now();
  directory.OnEntry(MakeEndpoint("a"));
  directory.OnEntry(MakeEndpoint("b"));
  clock.Advance(Seconds(10));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(3));
  directory.AddSourceAvailability({ testStart, clock.Now() });
  BOOST_TEST(Remove(directory, "a"));
  // No recent observation by other hosts either
  clock.Advance(Seconds(3));
  BOOST_TEST(!Remove(directory, "b"));
}

BOOST_AUTO_TEST_CASE(RemovedEndpointIsLiveAgainOnNewEntry)
{
  // The entry of a live endpoint had expired because it was not renewed in time
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.OnRemoved("a");
  BOOST_TEST(Enter(directory, MakeEndpoint("a")));
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(LaterInstanceReplacesLeavingOne)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  Endpoint first = MakeEndpoint("a", EndpointState::Leaving);
  first.incarnation = 1000;
  directory.OnEntry(first);
  Endpoint second = MakeEndpoint("a");
  second.incarnation = 2000;
  BOOST_TEST(Enter(directory, second));
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Live));

  // Delayed entries of the earlier instance are ignored, also if they say that it is leaving
  BOOST_TEST(!Enter(directory, first));
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Live));
  BOOST_TEST(directory.Snapshot()->endpoints.at(0).incarnation == 2000);
}

BOOST_AUTO_TEST_CASE(LaterInstanceIsNotMissingAfterOutage)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  Endpoint endpoint = MakeEndpoint("a");
  endpoint.incarnation = 1000;
  directory.OnEntry(endpoint);
  directory.SetSourceAvailable(false);
  directory.OnRemoved("a");
  endpoint.incarnation = 2000;
  BOOST_TEST(Enter(directory, endpoint));
  directory.SetSourceAvailable(true);
  clock.Advance(Seconds(3));
  BOOST_TEST(!Tick(directory));
}

BOOST_AUTO_TEST_CASE(EndpointIsEjectedWhileItsEntryIsUnreadable)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.OnEntry(MakeEndpoint("b", EndpointState::Leaving));
  BOOST_TEST(directory.OnUnreadable("a"));
  BOOST_TEST(!directory.OnUnreadable("a"));
  BOOST_TEST(!directory.OnUnreadable("unknown"));
  directory.OnUnreadable("b");
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Ejected));
  BOOST_TEST((directory.Snapshot()->endpoints.at(1).state == EndpointState::Leaving));
  BOOST_TEST(Enter(directory, MakeEndpoint("a")));
  BOOST_TEST((directory.Snapshot()->endpoints.at(0).state == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(LeavingStateIsNotRevertedByOlderEntry)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("a"));
  BOOST_TEST(Enter(directory, MakeEndpoint("a", EndpointState::Leaving)));
  // An older entry that arrives late
  BOOST_TEST(!Enter(directory, MakeEndpoint("a")));
  BOOST_TEST((directory.Snapshot()->endpoints.front().state == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(EntriesMissingAfterOutageAreRemovedAfterGracePeriod)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("stays"));
  directory.OnEntry(MakeEndpoint("goes"));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  directory.SetSourceAvailable(true);
  RemoveAll(directory);
  BOOST_TEST(directory.Snapshot()->endpoints.size() == 2U);
  clock.Advance(Milliseconds(1500));
  BOOST_TEST(!Tick(directory));
  directory.OnEntry(MakeEndpoint("stays"));
  clock.Advance(Milliseconds(1500));
  BOOST_TEST(Tick(directory));
  const FleetSnapshotPtr snapshot = directory.Snapshot();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    BOOST_TEST((endpoint.state == EndpointState::Live) == (endpoint.id == "stays"));
  }
  clock.Advance(Seconds(11));
  BOOST_TEST(Tick(directory));
  BOOST_REQUIRE_EQUAL(directory.Snapshot()->endpoints.size(), 1U);
  BOOST_TEST(directory.Snapshot()->endpoints.front().id == "stays");
}

BOOST_AUTO_TEST_CASE(LeavingEndpointMissingAfterOutageIsRemovedImmediately)
{
  VirtualClock clock;
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("a", EndpointState::Leaving));
  directory.SetSourceAvailable(false);
  directory.SetSourceAvailable(true);
  BOOST_TEST(RemoveAll(directory));
  clock.Advance(Seconds(11));
  BOOST_TEST(Tick(directory));
  BOOST_TEST(directory.Snapshot()->endpoints.empty());
}

// Guards against requests that reach an endpoint later than allowed after it left: the hold after an outage was longer
// than a leaving may take to be known.
BOOST_AUTO_TEST_CASE(RemovalAfterAnOutageIsHeldForLessThanTheTimeAllowed)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("before"));
  directory.OnEntry(MakeEndpoint("after"));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  directory.SetSourceAvailable(true);
  clock.Advance(Milliseconds(100));
  const TimePoint beforeOutage = clock.Now() - Seconds(10);
  BOOST_TEST((directory.OnRemoved("before", { beforeOutage }) == RemovalOutcome::Held));
  BOOST_TEST((directory.OnRemoved("after", { clock.Now() }) == RemovalOutcome::Held));
  clock.Advance(settings.maximumHold);
  const std::vector<EndedHold> ended = directory.ApplyHeldRemovals();
  BOOST_TEST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(ended.front().id == "after");
  BOOST_TEST((ended.front().heldFor == settings.maximumHold));
  clock.Advance(settings.returnGrace);
  BOOST_TEST(directory.ApplyHeldRemovals().size() == 1U);
}

// Guards against requests that reach an endpoint later than allowed after it left: each call that the store refused counted
// as an outage, and each further one moved the end of all holds.
BOOST_AUTO_TEST_CASE(RefusedCallsAreNoOutageWhileOthersAreAnswered)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectory directory({}, clock);
  directory.OnEntry(MakeEndpoint("a"));
  const TimePoint testStart = clock.Now();
  for (int refusal = 0; refusal < 5; ++refusal) {
    clock.Advance(Milliseconds(400));
    directory.AddSourceAvailability({ testStart - Seconds(10), clock.Now() });
    clock.Advance(Milliseconds(400));
    directory.SetSourceAvailable(false);
    clock.Advance(Milliseconds(250));
    directory.SetSourceAvailable(true);
  }
  BOOST_TEST(Remove(directory, "a"));
}

/// Calls that take long now and then are no outage of the source.
BOOST_AUTO_TEST_CASE(ShortOutagesAfterALongOneDoNotMoveTheEndOfAHold)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  directory.SetSourceAvailable(true);
  const TimePoint answersSince = clock.Now();
  directory.AddSourceAvailability({ answersSince, answersSince });
  clock.Advance(Milliseconds(100));
  BOOST_TEST(!Remove(directory, "a"));
  while (clock.Now() < answersSince + settings.returnGrace) {
    BOOST_TEST(!directory.IsRemoved("a"));
    directory.SetSourceAvailable(false);
    clock.Advance(Milliseconds(700));
    directory.SetSourceAvailable(true);
    directory.AddSourceAvailability({ clock.Now() - Milliseconds(100), clock.Now() });
    clock.Advance(Milliseconds(300));
    static_cast<void>(directory.ApplyHeldRemovals());
  }
  BOOST_TEST(directory.IsRemoved("a"));
}

// Guards against requests that reach an endpoint for seconds after it left: the hold of a removal that the source had
// certainly accepted after an outage was bounded by that time only until the next outage.
BOOST_AUTO_TEST_CASE(LaterOutageDoesNotExtendTheHoldOfARemovalAfterTheFirst)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  directory.SetSourceAvailable(true);
  clock.Advance(Milliseconds(100));
  BOOST_TEST((directory.OnRemoved("a", { clock.Now() }) == RemovalOutcome::Held));
  directory.SetSourceAvailable(false);
  clock.Advance(settings.maximumHold);
  BOOST_TEST(directory.ApplyHeldRemovals().size() == 1U);
}

/// A host that retries at long intervals notices the end of an outage later than others.
BOOST_AUTO_TEST_CASE(OutageEndsWhenTheFirstHostSeesTheSourceAgain)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.SetSourceAvailable(false);
  clock.Advance(Seconds(5));
  const TimePoint returned = clock.Now();
  clock.Advance(Seconds(1));
  directory.AddSourceAvailability({ returned, clock.Now() });
  directory.SetSourceAvailable(true);
  BOOST_TEST(!Remove(directory, "a"));
  clock.Advance(settings.returnGrace - Seconds(1));
  BOOST_TEST(Tick(directory));
}

BOOST_AUTO_TEST_CASE(EntriesMissingAfterARestoreAreKeptUntilTheyCanBeWrittenAgain)
{
  VirtualClock clock;
  clock.Advance(Seconds(60));
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("stays"));
  directory.OnEntry(MakeEndpoint("goes"));
  // No host has seen an outage
  directory.AddSourceAvailability({ clock.Now() - Seconds(10), clock.Now() });
  directory.OnSourceRestored();
  BOOST_TEST(!RemoveAll(directory));
  directory.OnEntry(MakeEndpoint("stays"));
  clock.Advance(settings.returnGrace);
  BOOST_TEST(Tick(directory));
  BOOST_TEST(directory.IsRemoved("goes"));
  BOOST_TEST(directory.IsLive("stays"));
  // Later removals are no matter of the restore
  BOOST_TEST(Remove(directory, "stays"));
}

BOOST_AUTO_TEST_CASE(EndpointThatLeftIsLiveAfterSeveralRecordsOrOfAnotherHostsEvidence)
{
  VirtualClock clock;
  EndpointDirectorySettings settings;
  EndpointDirectory directory(settings, clock);
  directory.OnEntry(MakeEndpoint("a"));
  directory.OnEntry(MakeEndpoint("b"));
  for (const char* id : { "a", "b" }) {
    BOOST_TEST((directory.OnRemoved(id, { TimePoint::min(), false }) == RemovalOutcome::InForce));
  }
  for (int record = 1; record < settings.recordsOfReturn; ++record) {
    BOOST_TEST(!Enter(directory, MakeEndpoint("a")));
  }
  BOOST_TEST((directory.OnEntry(MakeEndpoint("a")) == EntryOutcome::Returned));
  BOOST_TEST((directory.OnEntry(MakeEndpoint("b"), true) == EntryOutcome::Returned));
  // Its next removal counts anew
  BOOST_TEST(Remove(directory, "a"));
  BOOST_TEST(Enter(directory, MakeEndpoint("a")));
}

BOOST_AUTO_TEST_SUITE_END()
