#include "UnitTests/Daemon/EndpointReplicatorFixture.h"

#include "Lagoonward/Daemon/EndpointUpdateMessages.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::replication_tests;

BOOST_FIXTURE_TEST_SUITE(EndpointReplicatorTests, Fleet)

BOOST_AUTO_TEST_CASE(RecordsReadByAnAggregatorReachItsFailureDomain)
{
  ReadRecord(*this->FirstDomainDaemons().front(), { "e1", "live", 5, false });
  for (Daemon* daemon : this->FirstDomainDaemons(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  ReadRecord(*this->FirstDomainDaemons().front(), { "e1", "leaving", 6, false });
  for (Daemon* daemon : this->FirstDomainDaemons(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

BOOST_AUTO_TEST_CASE(RecordsReadByThePrimaryReaderReachEveryFailureDomain)
{
  Daemon& reader = this->PrimaryReader();
  ReadRecord(reader, { "e1", "live", 5, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  ReadRecord(reader, { "e1", "leaving", 6, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

BOOST_AUTO_TEST_CASE(ADaemonThatReceivesUpdatesDoesNotWatchTheSourceForConfigurations)
{
  Daemon& reader = this->PrimaryReader();
  reader.configuration = 7;
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  BOOST_TEST(listener.replicator.WatchesSource());
  listener.CompleteFullRead({}, 0);
  BOOST_TEST(this->Eventually([&] { return listener.replicator.WatchesSource(); }));
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteFullRead({}, 0);
    return !listener.replicator.WatchesSource();
  }));
  // The version comes from an aggregator of its group, which has it from the primary reader
  for (Daemon* aggregator : this->FirstDomainDaemons()) {
    aggregator->configuration = 7;
  }
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(0);
    return listener.replicator.NewestPeerConfiguration() == 7;
  }));
  BOOST_TEST(reader.replicator.WatchesSource());
}

BOOST_AUTO_TEST_CASE(ADaemonUsesTheListenerIntervalRightAfterItsFullRead)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  reader.RunOnControlThread([&] { reader.replicator.OnFullRead({}, 0); });
  std::this_thread::sleep_for(this->settings.changeRetention);
  listener.CompleteFullRead({}, 0);
  reader.CompleteRead(0);
  BOOST_TEST(this->Eventually(
    [&] { return listener.replicator.ReadInterval() == this->settings.listenerInterval; }));
}

BOOST_AUTO_TEST_CASE(ADaemonReadsTheSourceDirectlyUntilItsFirstFullRead)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  ReadRecord(reader, { "e1", "live", 5, false });
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e1").has_value(); }));
  // Updates, for however long, do not contain the records from before they began
  const TimePoint begun = this->clock.Now();
  while (this->clock.Now() - begun < 2 * this->settings.reader.readerStalenessLimit) {
    reader.CompleteRead(6);
    std::this_thread::sleep_for(Milliseconds(20));
    BOOST_TEST((listener.replicator.ReadInterval() <= this->settings.maximumDirectReadInterval));
  }
  listener.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  BOOST_TEST((listener.replicator.ReadInterval() == this->settings.listenerInterval));
  while (this->clock.Now() - begun < 5 * this->settings.reader.readerStalenessLimit) {
    reader.CompleteRead(6);
    std::this_thread::sleep_for(Milliseconds(20));
    BOOST_TEST((listener.replicator.ReadInterval() == this->settings.listenerInterval));
  }
  // No more updates arrive from here on
  BOOST_TEST(this->Eventually(
    [&] { return listener.replicator.ReadInterval() <= settings.maximumDirectReadInterval; }));
}

// Guards against requests that reach endpoints for longer than allowed after these have reported that they leave.
// Messages arrived several times a second but carried snapshots that were seconds old, as the primary reader and then
// each aggregator had too much to send. A daemon treated every message as current and did not read the source directly.
BOOST_AUTO_TEST_CASE(StaleUpdatesDoNotSuppressDirectReads)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  reader.CompleteFullRead({}, 0);
  listener.CompleteFullRead({}, 0);
  const TimePoint staleReadTime = this->clock.BootNow();
  BOOST_TEST(this->Eventually([&] {
    reader.RunOnControlThread([&] { reader.replicator.OnReadCompleted(staleReadTime, 0); });
    return listener.replicator.ReadInterval() <= this->settings.maximumDirectReadInterval;
  }));
  // It reports its true age, and becomes current again with a current update
  BOOST_TEST((listener.replicator.Age() >= this->settings.reader.readerStalenessLimit));
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(0);
    return listener.replicator.ReadInterval() == this->settings.listenerInterval;
  }));
}

/// An implausible age occurs in practice: a daemon that has received all records of its first full read, but not yet
/// the completion of that read, has a snapshot without an age.
BOOST_AUTO_TEST_CASE(AnImplausibleAgeIsIgnored)
{
  constexpr auto kEndpointUpdate = ToRequestType(PeerRequest::EndpointUpdate);
  Daemon& sender = *this->daemons[0];
  Daemon& listener = *this->daemons[1];
  const PeerAddress receiver{ Daemon::Identity(1, "a").self.Key(), "127.0.0.1",
                              listener.membership.Transport().Port() };
  listener.CompleteFullRead({}, 5);
  BOOST_TEST(this->Eventually(
    [&] { return listener.replicator.Age() > this->settings.reader.readerStalenessLimit; }));
  EndpointUpdateMessage message;
  message.endVersion = 5;
  for (const std::int64_t implausible :
       { std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min() }) {
    message.age = implausible;
    message.answeredFor = implausible;
    std::atomic<bool> answered{ false };
    sender.RunOnControlThread([&] {
      sender.membership.Transport().Request(
        receiver, kEndpointUpdate,
        EncodePeerMessage(EndpointUpdateHeader()) + EncodePeerMessage(message), Seconds(5),
        [&](const Result<std::string>& aAnswer) { answered = aAnswer.has_value(); });
    });
    BOOST_TEST(this->Eventually([&] { return answered.load(); }));
    BOOST_TEST((listener.replicator.Age() >= Milliseconds(0)));
    BOOST_TEST((listener.replicator.Age() < kWaitLimit));
    BOOST_TEST((listener.replicator.Age() > this->settings.reader.readerStalenessLimit));
  }
}

// Guards against requests that reach endpoints that have left, on hosts or links that are short of time: where all
// messages were slow, each counted as one without any delay, and snapshots were older than their age said.
BOOST_AUTO_TEST_CASE(AgeIsNeverBelowTheTruthWhenAllUpdatesAreSlow)
{
  constexpr auto kEndpointUpdate = ToRequestType(PeerRequest::EndpointUpdate);
  constexpr Milliseconds kDelay{ 500 };
  Daemon& sender = *this->daemons[0];
  Daemon& listener = *this->daemons[1];
  const PeerAddress receiver{ Daemon::Identity(1, "a").self.Key(), "127.0.0.1",
                              listener.membership.Transport().Port() };
  const TimePoint readAt = this->clock.BootNow();
  listener.CompleteFullRead({}, 5);
  EndpointUpdateMessage message;
  message.endVersion = 5;
  message.reader = Daemon::Identity(0, "a").self.Key();
  EndpointUpdateHeader header;
  for (int update = 0; update < 3; ++update) {
    // Its content is as of when it is said to be sent, and it takes this long to arrive
    const TimePoint sentAt = this->clock.BootNow();
    std::this_thread::sleep_for(kDelay);
    message.sentAt = std::chrono::floor<Milliseconds>(sentAt.time_since_epoch()).count();
    std::optional<EndpointUpdateReply> reply;
    std::atomic<bool> answered{ false };
    sender.RunOnControlThread([&] {
      sender.membership.Transport().Request(
        receiver, kEndpointUpdate, EncodePeerMessage(header) + EncodePeerMessage(message),
        Seconds(5), [&](const Result<std::string>& aAnswer) {
          reply = DecodePeerMessage<EndpointUpdateReply>(aAnswer.value());
          answered = true;
        });
    });
    BOOST_TEST(this->Eventually([&] { return answered.load(); }));
    const TimePoint newestContent = std::max(readAt, sentAt);
    const TimePoint before = this->clock.BootNow();
    const Milliseconds age = listener.replicator.Age();
    const TimePoint after = this->clock.BootNow();
    BOOST_TEST((age >= before - newestContent - Milliseconds(1)));
    // Nor far above it once there was a reply
    BOOST_TEST((!header.hasClockDifference || age <= after - newestContent + kDelay));
    // Both daemons of this test have the same clock
    BOOST_REQUIRE(reply.has_value());
    const auto now = std::chrono::ceil<Milliseconds>(this->clock.BootNow().time_since_epoch());
    header = { true, now.count() - reply->repliedAt };
  }
}

/// A daemon that was unreachable for longer than changes are retained has missed some.
BOOST_AUTO_TEST_CASE(AnUpdateThatLeavesAGapDoesNotMakeASnapshotYounger)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  listener.CompleteFullRead({}, 5);
  reader.CompleteFullRead({}, 9);
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(9);
    return listener.replicator.ReadInterval() <= this->settings.maximumDirectReadInterval;
  }));
  listener.CompleteFullRead({}, 9);
  BOOST_TEST((listener.replicator.ReadInterval() == this->settings.listenerInterval));
}

// Found by a soak run: 81 requests reached endpoints three seconds after these had terminated, because the reader had
// just lost the source and did not forward the removals.
BOOST_AUTO_TEST_CASE(AReaderForwardsRemovalsAfterItLostTheSource)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  ReadRecord(reader, { "e1", "live", 5, false });
  for (Daemon* daemon : this->FirstDomainDaemons(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  reader.RunOnControlThread([&] {
    reader.replicator.OnSourceReachability(false);
    reader.replicator.OnSourceReachability(true);
  });
  ReadRecord(reader, { "e1", "", 6, true });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Live));
  for (Daemon* daemon : this->FirstDomainDaemons(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

// Guards against requests that reach an endpoint too late after it left: a single daemon sent one after 2.3 s; 2 s are
// allowed. Entries that vanish around an outage of the source are kept for 2.2 s after its return, as entries of live
// endpoints lapse during an outage. A daemon that alone had lost the source, or had a single read unanswered, treated
// that as such an outage, although other daemons reported that the source answered.
BOOST_AUTO_TEST_CASE(ARemovalTakesEffectIfOtherDaemonsSawNoOutage)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  listener.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  const TimePoint begun = this->clock.Now();
  while (this->clock.Now() - begun < this->settings.changeRetention) {
    reader.CompleteRead(6);
    std::this_thread::sleep_for(Milliseconds(50));
  }
  listener.RunOnControlThread([&] {
    listener.replicator.OnSourceReachability(false);
    listener.replicator.OnSourceReachability(true);
  });
  const TimePoint removed = this->clock.Now();
  reader.RunOnControlThread([&] { reader.replicator.OnRecord({ "e1", "", 6, true }); });
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(7);
    return listener.StateOf("e1") == EndpointState::Leaving;
  }));
  BOOST_TEST((this->clock.Now() - removed < Seconds(1)));
}

// Guards against requests that reach an endpoint for seconds after it left: a heartbeat that was on its way when the
// endpoint removed its entry was written after the removal, and all daemons took the endpoint for live again.
BOOST_AUTO_TEST_CASE(EndpointThatLeftStaysLeavingWhenALateHeartbeatIsWritten)
{
  Daemon& reader = this->PrimaryReader();
  for (const auto& daemon : this->daemons) {
    daemon->CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  }
  ReadNextRecord(reader, { "e1", "live", 6, false });
  ReadNextRecord(reader, { "e1", "", 7, true });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
  ReadNextRecord(reader, { "e1", "live", 8, false });
  // A daemon that reads the source directly finds the entry as well
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  listener.CompleteFullRead({ { "e1", "live", 8, false } }, 9);
  for (int read = 0; read < 10; ++read) {
    reader.CompleteRead(9);
    std::this_thread::sleep_for(Milliseconds(20));
    for (const auto& daemon : this->daemons) {
      BOOST_TEST((daemon->StateOf("e1") == EndpointState::Leaving));
    }
  }

  // An endpoint that keeps writing serves again, and all daemons learn it from the one that reads for them
  ReadNextRecord(reader, { "e1", "live", 9, false });
  ReadNextRecord(reader, { "e1", "live", 10, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
}

/// The entry of an endpoint that serves may lapse while it cannot write; its next record makes it live again.
BOOST_AUTO_TEST_CASE(EndpointWhoseEntryLapsedIsLiveAgainWithItsNextRecord)
{
  Daemon& reader = this->PrimaryReader();
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  ReadNextRecord(reader, { "e1", "live", 6, false });
  const TimePoint renewed = this->clock.Now();
  while (this->clock.Now() - renewed < this->settings.lapseTime) {
    std::this_thread::sleep_for(this->settings.readerInterval);
    reader.CompleteRead(7);
  }
  ReadNextRecord(reader, { "e1", "", 7, true });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Leaving));
  ReadNextRecord(reader, { "e1", "live", 8, false });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Live));
}

/// In an outage the source may drop entries before they would have lapsed.
BOOST_AUTO_TEST_CASE(EntriesThatVanishInAnOutageMayHaveLapsed)
{
  Daemon& reader = this->PrimaryReader();
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  ReadNextRecord(reader, { "e1", "live", 6, false });
  reader.RunOnControlThread([&] {
    reader.replicator.OnSourceReachability(false);
    reader.replicator.OnSourceReachability(true);
  });
  reader.CompleteFullRead({}, 8);
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Live));
  ReadNextRecord(reader, { "e1", "live", 8, false });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Live));
}

// Guards against live endpoints that get no requests from daemons that saw no outage, although their entries only lapsed.
BOOST_AUTO_TEST_CASE(EntryThatLapsedInAnOutageReturnsAtOnceOnDaemonsThatMissedIt)
{
  Daemon& reader = this->PrimaryReader();
  for (const auto& daemon : this->daemons) {
    daemon->CompleteFullRead({}, 0);
  }
  ReadNextRecord(reader, { "e1", "live", 0, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  reader.RunOnControlThread([&] {
    reader.replicator.OnSourceReachability(false);
    reader.replicator.OnSourceReachability(true);
  });
  ReadNextRecord(reader, { "e1", "", 1, true });
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e1") == EndpointState::Leaving; }));
  ReadNextRecord(reader, { "e1", "live", 2, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
}

// Guards against requests that reach an endpoint later than allowed after it left: a daemon that had just found the
// source again held all removals for longer than a leaving may take to be known, also those that cannot be lapses.
BOOST_AUTO_TEST_CASE(EndpointThatWroteAfterAnOutageLeavesAtOnce)
{
  Daemon& reader = this->PrimaryReader();
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  reader.RunOnControlThread([&] {
    reader.replicator.OnSourceReachability(false);
    reader.replicator.OnSourceReachability(true);
  });
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  ReadNextRecord(reader, { "e1", "live", 6, false });
  ReadNextRecord(reader, { "e1", "", 7, true });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Leaving));
}

// Found by a soak run: one aggregator did not reach a daemon, and the other had received the record from the first and
// did not forward it.
BOOST_AUTO_TEST_CASE(AnAggregatorForwardsRecordsThatAnotherHasRead)
{
  Daemon& first = *this->FirstDomainDaemons().front();
  Daemon& second = *this->FirstDomainDaemons().back();
  second.RunOnControlThread([&] { second.replicator.OnFullRead({}, 0); });
  ReadRecord(first, { "e1", "live", 5, false });
  BOOST_TEST(this->Eventually([&] { return second.StateOf("e1").has_value(); }));

  // From now on only the second sends updates; a daemon that joins now receives the record from it
  Daemon& newcomer = this->AddNonAggregator();
  BOOST_TEST(this->Eventually([&] {
    second.CompleteRead(6);
    return newcomer.StateOf("e1") == EndpointState::Live;
  }));
}

BOOST_AUTO_TEST_CASE(ChangesFoundByAFullReadAreForwarded)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  reader.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  ReadRecord(reader, { "e2", "live", 6, false });
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e2") == EndpointState::Live; }));
  // The source has lost its history in between
  reader.CompleteFullRead({ { "e3", "live", 9, false } }, 10);
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e2") == EndpointState::Leaving; }));
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e3") == EndpointState::Live; }));
}

BOOST_AUTO_TEST_CASE(AnOlderRecordHasNoEffect)
{
  Daemon& daemon = *this->daemons[4];
  ReadRecord(daemon, { "e1", "live", 5, false });
  ReadRecord(daemon, { "e1", "", 7, true });
  const int before = daemon.changeCount;
  ReadRecord(daemon, { "e1", "live", 6, false });
  BOOST_TEST(daemon.changeCount == before);
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Leaving));

  // A full read that began before the newest record arrived reverts nothing
  ReadRecord(daemon, { "e2", "live", 9, false });
  daemon.RunOnControlThread([&] {
    daemon.replicator.OnFullRead({ { "e3", "live", 8, false } }, 9);
  });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Live));
  BOOST_TEST((daemon.StateOf("e3") == EndpointState::Live));
  daemon.RunOnControlThread([&] {
    daemon.replicator.OnFullRead({ { "e3", "live", 8, false } }, 10);
  });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(AMalformedRecordOfAnUnknownEndpointIsCountedAndIgnored)
{
  Daemon& daemon = *this->daemons[4];
  ReadRecord(daemon, { "e1", "", 5, false });
  BOOST_TEST(!daemon.StateOf("e1").has_value());
  BOOST_TEST(daemon.changeCount == 0);
  BOOST_TEST(daemon.replicator.RefusedRecords() == 1);
}

BOOST_AUTO_TEST_CASE(AMalformedRecordEjectsOnlyItsOwnEndpoint)
{
  Daemon& daemon = *this->daemons[4];
  ReadRecord(daemon, { "e1", "live", 5, false });
  ReadRecord(daemon, { "e2", "live", 6, false });
  ReadRecord(daemon, { "e1", "", 7, false });
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Ejected));
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Live));
  ReadRecord(daemon, { "e1", "live", 8, false });
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Live));
}

/// Guards against a daemon that starts while the source is away and refuses all requests until it is back, although the
/// other daemons know the endpoints.
BOOST_AUTO_TEST_CASE(DaemonThatStartsInAnOutageOfTheSourceTakesASnapshotOfAnother)
{
  const std::vector<EndpointRecord> all{ { "e1", "live", 1, false },
                                         { "e2", "leaving", 2, false },
                                         { "e3", "live", 3, false } };
  for (const auto& daemon : this->daemons) {
    daemon->CompleteFullRead(all, 4);
    daemon->RunOnControlThread([&] {
      daemon->replicator.OnRecord({ "e3", "", 4, true });
      daemon->replicator.OnReadCompleted(this->clock.BootNow(), 5);
    });
  }
  Daemon& started = this->AddNonAggregator();
  started.RunOnControlThread([&] { started.replicator.OnSourceReachability(false); });
  BOOST_TEST(this->Eventually([&] { return started.StateOf("e1") == EndpointState::Live; }));
  BOOST_TEST((started.StateOf("e2") == EndpointState::Leaving));
  // Another daemon retains it as leaving only because it has removed its entry
  BOOST_TEST((started.StateOf("e3") != EndpointState::Live));
  BOOST_TEST((started.replicator.Age() < kWaitLimit));
  // The source is back, and has lost an endpoint meanwhile
  started.RunOnControlThread([&] { started.replicator.OnSourceReachability(true); });
  started.CompleteFullRead({ { "e2", "leaving", 2, false }, { "e4", "live", 6, false } }, 7);
  BOOST_TEST((started.StateOf("e4") == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(ADaemonSendsNoUpdatesBeforeItsFirstFullRead)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  listener.CompleteFullRead({}, 0);
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(0);
    return listener.replicator.WatchesSource();
  }));
}

// Guards against requests that reach endpoints four to five seconds after these have reported that they leave, seen
// while a large deployment started. Each read sent the changes of the last four seconds to every receiver again: up to
// 49 KB to 60 daemons, which took one second of a small host's link at the primary reader and one more at each
// aggregator. Messages that timed out closed their connections as well.
BOOST_AUTO_TEST_CASE(AcknowledgedChangesAreNotSentAgain)
{
  constexpr int kEndpoints = 200;
  constexpr int kFurtherReads = 10;
  Daemon& reader = this->PrimaryReader();
  const auto sentBytes = [&] {
    std::uint64_t sent = 0;
    reader.RunOnControlThread(
      [&] { sent = reader.membership.Transport().Counters().streamBytesSent; });
    return sent;
  };
  for (const auto& daemon : this->daemons) {
    daemon->CompleteFullRead({}, 0);
  }
  const std::uint64_t before = sentBytes();
  reader.RunOnControlThread([&] {
    for (int index = 0; index < kEndpoints; ++index) {
      reader.replicator.OnRecord({ "endpoint-" + std::to_string(index), "live", index, false });
    }
    reader.replicator.OnReadCompleted(this->clock.BootNow(), kEndpoints);
  });
  const std::string lastId = "endpoint-" + std::to_string(kEndpoints - 1);
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf(lastId).has_value(); }));
  }
  std::this_thread::sleep_for(Milliseconds(100));
  const std::uint64_t bytesOfFirstUpdate = sentBytes() - before;
  for (int read = 0; read < kFurtherReads; ++read) {
    reader.CompleteRead(kEndpoints);
    std::this_thread::sleep_for(Milliseconds(20));
  }
  BOOST_TEST(sentBytes() - before - bytesOfFirstUpdate < bytesOfFirstUpdate);
}

/// An endpoint that existed when the reader's change log began is not part of its updates.
// Guards against requests to endpoints that have left: after a restore of the source, records of versions that were given
// out again were taken for older ones.
BOOST_AUTO_TEST_CASE(RecordsOfARestoredSourceReachEveryDaemon)
{
  Daemon& reader = this->PrimaryReader();
  const std::vector<EndpointRecord> all{ { "a", "live", 40 },
                                         { "b", "live", 45 },
                                         { "c", "live", 47 } };
  for (const auto& daemon : this->daemons) {
    daemon->CompleteFullRead(all, 50);
  }
  reader.RunOnControlThread([&] { reader.replicator.OnRecord({ "b", {}, 50, true }); });
  reader.CompleteRead(51);
  BOOST_TEST(this->Eventually([this] {
    return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
      return aDaemon->StateOf("b") == EndpointState::Leaving;
    });
  }));

  // The copy lists an endpoint that has left, and lacks one that lives
  const std::vector<EndpointRecord> copied{ { "a", "live", { 20, 1 } },
                                            { "b", "live", { 21, 1 } } };
  reader.CompleteFullRead(copied, { 22, 1 });
  BOOST_TEST(this->Eventually([this] {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto& aDaemon) { return aDaemon->replicator.SourceEpoch() == 1; });
  }));
  for (const auto& daemon : this->daemons) {
    BOOST_TEST((daemon->StateOf("b") == EndpointState::Leaving));
    BOOST_TEST((daemon->StateOf("c") == EndpointState::Live));
  }

  // Its version was that of another record before
  reader.RunOnControlThread([&] { reader.replicator.OnRecord({ "a", "leaving", { 22, 1 } }); });
  reader.CompleteRead({ 23, 1 });
  BOOST_TEST(this->Eventually([this] {
    return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
      return aDaemon->StateOf("a") == EndpointState::Leaving;
    });
  }));
}

BOOST_AUTO_TEST_CASE(UpdatesOfAnEarlierEpochDoNotMakeASnapshotYounger)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  reader.CompleteFullRead({ { "a", "live", 40 } }, 50);
  listener.CompleteFullRead({ { "a", "live", { 20, 1 } } }, { 22, 1 });
  std::this_thread::sleep_for(Milliseconds(300));
  reader.RunOnControlThread([&] { reader.replicator.OnRecord({ "a", "leaving", 50 }); });
  reader.CompleteRead(51);
  std::this_thread::sleep_for(Milliseconds(100));
  BOOST_TEST((listener.StateOf("a") == EndpointState::Live));
  BOOST_TEST((listener.replicator.Age() >= Milliseconds(400)));
  BOOST_TEST(listener.replicator.SourceEpoch() == 1);
}

BOOST_AUTO_TEST_CASE(AMissedRecordIsDetectedByTheDigest)
{
  Daemon& reader = *this->FirstDomainDaemons().front();
  Daemon& listener = *this->FirstDomainDaemons(false).front();
  reader.RunOnControlThread([&] {
    reader.replicator.OnFullRead({ { "e1", "live", 5, false } }, 6);
  });
  BOOST_TEST(this->Eventually([&] {
    reader.CompleteRead(6);
    return listener.replicator.ReadInterval() == Milliseconds(0);
  }));
  BOOST_TEST(!listener.StateOf("e1").has_value());
  listener.CompleteFullRead({ { "e1", "live", 5, false } }, 6);
  BOOST_TEST((listener.replicator.ReadInterval() > Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointReplicatorSettingsTests)

/// A request that reaches an endpoint after the time within which its leaving must be known is a fault.
BOOST_DATA_TEST_CASE(LeavingIsKnownInTimeWhenThePrimaryReaderFails,
                     boost::unit_test::data::make({ 700, 1000, 2000, 3000, 4000, 10000 }), notice)
{
  const Milliseconds leavingNotice(notice);
  const EndpointReplicatorSettings settings =
    EndpointReplicatorSettingsFor(leavingNotice, Seconds(1));
  const Milliseconds longestStalenessLimit =
    settings.reader.readerStalenessLimit + 2 * settings.reader.stalenessLimitStep;
  BOOST_TEST((longestStalenessLimit <= leavingNotice));
  BOOST_TEST((settings.readerInterval <= Milliseconds(1000)));
  BOOST_TEST((settings.changeRetention > longestStalenessLimit));
}

/// The hold begins at the earliest time at which the removal can have been written, and a request needs time to arrive.
BOOST_DATA_TEST_CASE(HeldRemovalsTakeEffectInTime,
                     boost::unit_test::data::make({ 700, 1000, 2000, 3000, 4000, 10000 }), notice)
{
  const Milliseconds leavingNotice(notice);
  const EndpointReplicatorSettings settings =
    EndpointReplicatorSettingsFor(leavingNotice, Seconds(1));
  const Milliseconds longestHold = settings.directory.maximumHold + settings.tickInterval;
  BOOST_TEST((longestHold <= leavingNotice - leavingNotice / 10));
  BOOST_TEST((settings.directory.maximumHold > settings.readerInterval));
}

BOOST_AUTO_TEST_CASE(DefaultsEqualTheSettingsForTwoSeconds)
{
  const EndpointReplicatorSettings defaults;
  const EndpointReplicatorSettings derived = EndpointReplicatorSettingsFor(Seconds(2), Seconds(1));
  BOOST_TEST((defaults.readerInterval == derived.readerInterval));
  BOOST_TEST((defaults.reader.readerStalenessLimit == derived.reader.readerStalenessLimit));
  BOOST_TEST((defaults.reader.stalenessLimitStep == derived.reader.stalenessLimitStep));
  BOOST_TEST((defaults.maximumDirectReadInterval == derived.maximumDirectReadInterval));
  BOOST_TEST((defaults.staleAfter == derived.staleAfter));
  BOOST_TEST((defaults.changeRetention == derived.changeRetention));
  BOOST_TEST((defaults.lapseTime == derived.lapseTime));
  BOOST_TEST((defaults.tickInterval == derived.tickInterval));
  BOOST_TEST((defaults.directory.maximumHold == derived.directory.maximumHold));
}

BOOST_AUTO_TEST_SUITE_END()
