#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/EndpointNews.h"
#include "Lagoonward/Daemon/EndpointNewsMessages.h"
#include "Lagoonward/Daemon/PeerMessages.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <thread>

using namespace lagoonward;

namespace {

constexpr std::string_view kKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr Seconds kPatience{ 20 };

/// The text of a record is the endpoint's state.
Result<Endpoint>
Decode(const EndpointRecord& aRecord)
{
  if (aRecord.text.empty()) {
    return Error(ErrorKind::InvalidRequest, "empty");
  }
  Endpoint endpoint;
  endpoint.id = aRecord.id;
  endpoint.name = "s";
  endpoint.state = aRecord.text == "leaving" ? EndpointState::Leaving : EndpointState::Live;
  return endpoint;
}

/// One daemon with its picture of the endpoints.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex, const std::string& aDomain,
         const EndpointNewsSettings& aSettings)
    : clock(aClock)
    , membership(aClock, Identity(aIndex, aDomain), KeyRing::Parse(kKey, "test").value(), {},
                 [](const HostEntry&, const MembershipService::PollDone&) {})
    , news(aSettings, membership, Identity(aIndex, aDomain).self, Hooks(), aClock)
  {
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
    this->Do([this] { this->news.Start(); });
  }

  ~Daemon() { this->membership.Stop(); }

  static MembershipIdentity Identity(int aIndex, const std::string& aDomain)
  {
    MembershipIdentity identity;
    identity.self = { "daemon-" + std::to_string(aIndex), "127.0.0.1", 0, aDomain, "region" };
    identity.session = static_cast<std::uint64_t>(aIndex) + 1;
    return identity;
  }

  EndpointNewsHooks Hooks()
  {
    EndpointNewsHooks hooks;
    hooks.decode = &Decode;
    hooks.changed = [this] { ++this->changes; };
    hooks.configuration = [this] { return this->configuration.load(); };
    return hooks;
  }

  template<typename Action>
  void Do(Action aAction)
  {
    this->membership.Loop().Run(aAction);
  }

  /// The source answers a read that began just now.
  void Read(std::int64_t aEnd)
  {
    this->Do([&] { this->news.OnRead(this->clock.BootNow(), aEnd); });
  }

  /// The same for a read of all records.
  void ReadWhole(const std::vector<EndpointRecord>& aRecords, std::int64_t aEnd)
  {
    this->Do([&] {
      this->news.OnWhole(aRecords, aEnd);
      this->news.OnRead(this->clock.BootNow(), aEnd);
    });
  }

  [[nodiscard]] std::optional<EndpointState> StateOf(std::string_view aId)
  {
    std::optional<EndpointState> state;
    this->Do([&] {
      const FleetSnapshotPtr fleet = this->news.Snapshot();
      const Endpoint* endpoint = fleet->Find(aId);
      if (endpoint != nullptr) {
        state = endpoint->state;
      }
    });
    return state;
  }

  const Clock& clock;
  std::atomic<int> changes{ 0 };
  std::atomic<std::int64_t> configuration{ -1 };
  MembershipService membership;
  EndpointNews news;
};

/// Four daemons of one failure domain and one of another.
struct Fleet
{
  Fleet()
  {
    for (int index = 0; index < 5; ++index) {
      this->Add(index, index < 4 ? "a" : "b");
    }
    BOOST_TEST(this->Eventually([this] {
      return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon->membership.Peers()->peers.size() == 4;
      });
    }));
    BOOST_TEST(this->Eventually([this] { return this->Readers().size() == 2; }));
  }

  Daemon& Add(int aIndex, const std::string& aDomain)
  {
    this->daemons.push_back(std::make_unique<Daemon>(this->clock, aIndex, aDomain, this->settings));
    HostEntry host;
    host.id = "daemon-" + std::to_string(aIndex);
    host.kind = HostEntry::Kind::Daemon;
    host.address = "127.0.0.1";
    host.port = this->daemons.back()->membership.Transport().Port();
    host.failureDomain = aDomain;
    host.region = "region";
    this->hosts.push_back(host);
    for (const auto& daemon : this->daemons) {
      daemon->membership.ApplyHostList(this->hosts);
    }
    return *this->daemons.back();
  }

  /// Adds a daemon to the first failure domain that stands last there, so that it does not tell others.
  Daemon& AddLast()
  {
    for (int index = 5;; ++index) {
      const PeerInfo last = Daemon::Identity(index, "a").self;
      const PeerViewPtr view = this->daemons[0]->membership.Peers();
      const AggregationPlan plan = MakeAggregationPlan(last, true, *view, {});
      // The view is the first daemon's, which is not in it
      if (!plan.IsAggregator(last.Key()) && plan.own.size() == 2) {
        return this->Add(index, "a");
      }
    }
  }

  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    constexpr Milliseconds kStep{ 10 };
    for (Milliseconds waited{ 0 }; waited < kPatience; waited += kStep) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kStep);
    }
    return false;
  }

  /// The daemon that reads for all.
  Daemon& ReaderForAll()
  {
    const auto found = std::find_if(this->daemons.begin(), this->daemons.end(),
                                    [](const auto& aDaemon) { return aDaemon->news.IsReader(); });
    BOOST_REQUIRE(found != this->daemons.end());
    return **found;
  }

  /// Daemons of the first failure domain that tell others, or the others of it.
  std::vector<Daemon*> Readers(bool aTells = true)
  {
    std::vector<Daemon*> found;
    for (int index = 0; index < 4; ++index) {
      Daemon* daemon = this->daemons[static_cast<std::size_t>(index)].get();
      if (daemon->news.TellsOthers() == aTells) {
        found.push_back(daemon);
      }
    }
    return found;
  }

  SystemClock clock;
  EndpointNewsSettings settings;
  std::vector<HostEntry> hosts;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

/// A record is read by a daemon that has read the whole before.
void
Tell(Daemon& aDaemon, const EndpointRecord& aRecord)
{
  aDaemon.Do([&] {
    aDaemon.news.OnWhole({}, 0);
    aDaemon.news.OnRecord(aRecord);
    aDaemon.news.OnRead(aDaemon.clock.BootNow(), aRecord.version + 1);
  });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointNewsTests, Fleet)

BOOST_AUTO_TEST_CASE(WhatAReaderReadsIsKnownInItsFailureDomain)
{
  Tell(*this->Readers().front(), { "e1", "live", 5, false });
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  Tell(*this->Readers().front(), { "e1", "leaving", 6, false });
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

BOOST_AUTO_TEST_CASE(WhatTheReaderForAllReadsIsKnownInEveryFailureDomain)
{
  Daemon& reader = this->ReaderForAll();
  Tell(reader, { "e1", "live", 5, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  Tell(reader, { "e1", "leaving", 6, false });
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

BOOST_AUTO_TEST_CASE(WhoHearsOfReadsNeedNotAskForConfigurations)
{
  Daemon& reader = this->ReaderForAll();
  reader.configuration = 7;
  Daemon& listener = *this->Readers(false).front();
  BOOST_TEST(listener.news.WatchesSource());
  listener.ReadWhole({}, 0);
  BOOST_TEST(this->Eventually([&] { return listener.news.WatchesSource(); }));
  BOOST_TEST(this->Eventually([&] {
    reader.ReadWhole({}, 0);
    return !listener.news.WatchesSource();
  }));
  // It hears the version from an aggregator of its group, which has it from the reader
  for (Daemon* teller : this->Readers()) {
    teller->configuration = 7;
  }
  BOOST_TEST(this->Eventually([&] {
    reader.Read(0);
    return listener.news.ToldConfiguration() == 7;
  }));
  BOOST_TEST(reader.news.WatchesSource());
}

BOOST_AUTO_TEST_CASE(ADaemonThatHasJustReadListensAtOnce)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  reader.Do([&] { reader.news.OnWhole({}, 0); });
  std::this_thread::sleep_for(this->settings.repeat);
  listener.ReadWhole({}, 0);
  reader.Read(0);
  BOOST_TEST(this->Eventually([&] { return listener.news.Pace() == this->settings.listenerPace; }));
}

BOOST_AUTO_TEST_CASE(ADaemonReadsByItselfUntilItHasReadTheWhole)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  Tell(reader, { "e1", "live", 5, false });
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e1").has_value(); }));
  // However long it hears of reads: what there was before it has not been told
  const TimePoint begun = this->clock.Now();
  while (this->clock.Now() - begun < 2 * this->settings.readerSilence) {
    reader.Read(6);
    std::this_thread::sleep_for(Milliseconds(20));
    BOOST_TEST((listener.news.Pace() <= this->settings.ownPaceLimit));
  }
  listener.ReadWhole({ { "e1", "live", 5, false } }, 6);
  BOOST_TEST((listener.news.Pace() == this->settings.listenerPace));
  while (this->clock.Now() - begun < 5 * this->settings.readerSilence) {
    reader.Read(6);
    std::this_thread::sleep_for(Milliseconds(20));
    BOOST_TEST((listener.news.Pace() == this->settings.listenerPace));
  }
  // Then nothing more is heard
  BOOST_TEST(this->Eventually([&] { return listener.news.Pace() <= settings.ownPaceLimit; }));
}

// Seen by callers: requests reached endpoints longer than allowed after these had said that they leave. Messages came
// several times a second, and what they told of was seconds old: the reader, and each aggregator after it, had too
// much to send. A daemon took whatever came for new and did not read by itself.
BOOST_AUTO_TEST_CASE(OldNewsDoesNotKeepADaemonFromReading)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  reader.ReadWhole({}, 0);
  listener.ReadWhole({}, 0);
  const TimePoint old = this->clock.BootNow();
  BOOST_TEST(this->Eventually([&] {
    reader.Do([&] { reader.news.OnRead(old, 0); });
    return listener.news.Pace() <= this->settings.ownPaceLimit;
  }));
  // It tells its age as it is, and becomes current by what is new
  BOOST_TEST((listener.news.Age() >= this->settings.readerSilence));
  BOOST_TEST(this->Eventually([&] {
    reader.Read(0);
    return listener.news.Pace() == this->settings.listenerPace;
  }));
}

/// A daemon that has read all records and not yet heard that the read is over has a picture of no age.
BOOST_AUTO_TEST_CASE(AnAgeThatCannotBeIsNotBelieved)
{
  constexpr auto kEndpointNews =
    static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 4);
  Daemon& sender = *this->daemons[0];
  Daemon& listener = *this->daemons[1];
  const PeerAddress receiver{ Daemon::Identity(1, "a").self.Key(), "127.0.0.1",
                              listener.membership.Transport().Port() };
  listener.ReadWhole({}, 5);
  BOOST_TEST(this->Eventually([&] { return listener.news.Age() > this->settings.readerSilence; }));
  NewsMessage message;
  message.end = 5;
  for (const std::int64_t implausible :
       { std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min() }) {
    message.age = implausible;
    message.answered = implausible;
    std::atomic<bool> answered{ false };
    sender.Do([&] {
      sender.membership.Transport().Request(
        receiver, kEndpointNews, EncodePeerMessage(message), Seconds(5),
        [&](const Result<std::string>& aAnswer) { answered = aAnswer.has_value(); });
    });
    BOOST_TEST(this->Eventually([&] { return answered.load(); }));
    BOOST_TEST((listener.news.Age() >= Milliseconds(0)));
    BOOST_TEST((listener.news.Age() < kPatience));
    BOOST_TEST((listener.news.Age() > this->settings.readerSilence));
  }
}

/// Whoever was away for longer than changes are kept has missed some.
BOOST_AUTO_TEST_CASE(NewsThatLeavesAGapMakesAPictureNoYounger)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  listener.ReadWhole({}, 5);
  reader.ReadWhole({}, 9);
  BOOST_TEST(this->Eventually([&] {
    reader.Read(9);
    return listener.news.Pace() <= this->settings.ownPaceLimit;
  }));
  listener.ReadWhole({}, 9);
  BOOST_TEST((listener.news.Pace() == this->settings.listenerPace));
}

// Found by a played day: 81 requests reached endpoints three seconds after they had gone, because their reader had
// just lost the source and kept the removals to itself.
BOOST_AUTO_TEST_CASE(AReaderThatWasCutOffPassesRemovalsOn)
{
  Daemon& reader = *this->Readers().front();
  Tell(reader, { "e1", "live", 5, false });
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Live; }));
  }
  reader.Do([&] {
    reader.news.OnSource(false);
    reader.news.OnSource(true);
  });
  Tell(reader, { "e1", "", 6, true });
  BOOST_TEST((reader.StateOf("e1") == EndpointState::Live));
  for (Daemon* daemon : this->Readers(false)) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf("e1") == EndpointState::Leaving; }));
  }
}

// Seen by callers: a request reached an endpoint 2.3 s after it had left, where 2 s are allowed, sent by one daemon only.
// Entries that vanish around an outage of the source are kept for 2.2 s after its return, as those of live endpoints
// lapse with it. A daemon that alone had lost the source, or found a single read unanswered, took that for such an outage,
// whatever it heard from others.
BOOST_AUTO_TEST_CASE(ARemovalBindsWhereOthersSawTheSourceAllAlong)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  reader.ReadWhole({ { "e1", "live", 5, false } }, 6);
  listener.ReadWhole({ { "e1", "live", 5, false } }, 6);
  const TimePoint begun = this->clock.Now();
  while (this->clock.Now() - begun < this->settings.repeat) {
    reader.Read(6);
    std::this_thread::sleep_for(Milliseconds(50));
  }
  listener.Do([&] {
    listener.news.OnSource(false);
    listener.news.OnSource(true);
  });
  const TimePoint removed = this->clock.Now();
  reader.Do([&] { reader.news.OnRecord({ "e1", "", 6, true }); });
  BOOST_TEST(this->Eventually([&] {
    reader.Read(7);
    return listener.StateOf("e1") == EndpointState::Leaving;
  }));
  BOOST_TEST((this->clock.Now() - removed < Seconds(1)));
}

// Found by a played day: one reader did not reach a daemon, the other had heard the news from the first and kept
// it to itself.
BOOST_AUTO_TEST_CASE(AReaderPassesOnWhatTheOtherHasRead)
{
  Daemon& first = *this->Readers().front();
  Daemon& second = *this->Readers().back();
  second.Do([&] { second.news.OnWhole({}, 0); });
  Tell(first, { "e1", "live", 5, false });
  BOOST_TEST(this->Eventually([&] { return second.StateOf("e1").has_value(); }));

  // From now on only the second tells of reads; a daemon that comes then hears it from that one
  Daemon& newcomer = this->AddLast();
  BOOST_TEST(this->Eventually([&] {
    second.Read(6);
    return newcomer.StateOf("e1") == EndpointState::Live;
  }));
}

BOOST_AUTO_TEST_CASE(WhatAReaderFindsInTheWholeIsPassedOn)
{
  Daemon& reader = *this->Readers().front();
  reader.ReadWhole({ { "e1", "live", 5, false } }, 6);
  Tell(reader, { "e2", "live", 6, false });
  Daemon& listener = *this->Readers(false).front();
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e2") == EndpointState::Live; }));
  // History was lost in between
  reader.ReadWhole({ { "e3", "live", 9, false } }, 10);
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e2") == EndpointState::Leaving; }));
  BOOST_TEST(this->Eventually([&] { return listener.StateOf("e3") == EndpointState::Live; }));
}

BOOST_AUTO_TEST_CASE(AnOlderRecordChangesNothing)
{
  Daemon& daemon = *this->daemons[4];
  Tell(daemon, { "e1", "live", 5, false });
  Tell(daemon, { "e1", "", 7, true });
  const int before = daemon.changes;
  Tell(daemon, { "e1", "live", 6, false });
  BOOST_TEST(daemon.changes == before);
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Leaving));

  // A whole picture that was read before the newest news came takes nothing back
  Tell(daemon, { "e2", "live", 9, false });
  daemon.Do([&] { daemon.news.OnWhole({ { "e3", "live", 8, false } }, 9); });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Live));
  BOOST_TEST((daemon.StateOf("e3") == EndpointState::Live));
  daemon.Do([&] { daemon.news.OnWhole({ { "e3", "live", 8, false } }, 10); });
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(AMalformedRecordIsLeftOut)
{
  Daemon& daemon = *this->daemons[4];
  Tell(daemon, { "e1", "", 5, false });
  BOOST_TEST(!daemon.StateOf("e1").has_value());
  BOOST_TEST(daemon.changes == 0);
  BOOST_TEST(daemon.news.Refused() == 1);
}

BOOST_AUTO_TEST_CASE(AMalformedRecordTakesAKnownEndpointOutOfUseAndNoOther)
{
  Daemon& daemon = *this->daemons[4];
  Tell(daemon, { "e1", "live", 5, false });
  Tell(daemon, { "e2", "live", 6, false });
  Tell(daemon, { "e1", "", 7, false });
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Ejected));
  BOOST_TEST((daemon.StateOf("e2") == EndpointState::Live));
  Tell(daemon, { "e1", "live", 8, false });
  BOOST_TEST((daemon.StateOf("e1") == EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(WhoHasNotReadTheWholeTellsNobodyThatItReads)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  listener.ReadWhole({}, 0);
  BOOST_TEST(this->Eventually([&] {
    reader.Read(0);
    return listener.news.WatchesSource();
  }));
}

// Seen by callers: while a large deployment started, requests reached endpoints four to five seconds after these had
// said that they leave. Each read repeated the changes of the last four seconds to everybody: up to 49 KB to 60
// daemons, a second of a small host's link at the reader and another one at each aggregator. Messages that were not
// answered within their time took connections with them.
BOOST_AUTO_TEST_CASE(WhatADaemonHasConfirmedIsNotToldAgain)
{
  constexpr int kEndpoints = 200;
  constexpr int kFurtherReads = 10;
  Daemon& reader = this->ReaderForAll();
  const auto sentBytes = [&] {
    std::uint64_t sent = 0;
    reader.Do([&] { sent = reader.membership.Transport().Counters().streamBytesSent; });
    return sent;
  };
  for (const auto& daemon : this->daemons) {
    daemon->ReadWhole({}, 0);
  }
  const std::uint64_t before = sentBytes();
  reader.Do([&] {
    for (int index = 0; index < kEndpoints; ++index) {
      reader.news.OnRecord({ "endpoint-" + std::to_string(index), "live", index, false });
    }
    reader.news.OnRead(this->clock.BootNow(), kEndpoints);
  });
  const std::string last = "endpoint-" + std::to_string(kEndpoints - 1);
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(this->Eventually([&] { return daemon->StateOf(last).has_value(); }));
  }
  std::this_thread::sleep_for(Milliseconds(100));
  const std::uint64_t first = sentBytes() - before;
  for (int read = 0; read < kFurtherReads; ++read) {
    reader.Read(kEndpoints);
    std::this_thread::sleep_for(Milliseconds(20));
  }
  BOOST_TEST(sentBytes() - before - first < first);
}

/// An endpoint that was there when the reader began to tell is not among its news.
BOOST_AUTO_TEST_CASE(WhatWasMissedShowsInTheDigest)
{
  Daemon& reader = *this->Readers().front();
  Daemon& listener = *this->Readers(false).front();
  reader.Do([&] { reader.news.OnWhole({ { "e1", "live", 5, false } }, 6); });
  BOOST_TEST(this->Eventually([&] {
    reader.Read(6);
    return listener.news.Pace() == Milliseconds(0);
  }));
  BOOST_TEST(!listener.StateOf("e1").has_value());
  listener.ReadWhole({ { "e1", "live", 5, false } }, 6);
  BOOST_TEST((listener.news.Pace() > Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointNewsSettingsTests)

/// Grounds: a request that reaches an endpoint later than the time within which its leaving must be known is a fault.
BOOST_DATA_TEST_CASE(ALeavingIsFoundInTimeThoughTheReaderDies,
                     boost::unit_test::data::make({ 700, 1000, 2000, 3000, 4000, 10000 }), notice)
{
  const Milliseconds time(notice);
  const EndpointNewsSettings settings = EndpointNewsSettingsFor(time);
  const Milliseconds longest = settings.readerSilence + 2 * settings.silenceStep;
  BOOST_TEST((longest <= time));
  BOOST_TEST((settings.readerPace <= Milliseconds(1000)));
  BOOST_TEST((settings.repeat > longest));
}

BOOST_AUTO_TEST_CASE(DefaultsAreThoseForTwoSeconds)
{
  const EndpointNewsSettings defaults;
  const EndpointNewsSettings derived = EndpointNewsSettingsFor(Seconds(2));
  BOOST_TEST((defaults.readerPace == derived.readerPace));
  BOOST_TEST((defaults.readerSilence == derived.readerSilence));
  BOOST_TEST((defaults.silenceStep == derived.silenceStep));
  BOOST_TEST((defaults.ownPaceLimit == derived.ownPaceLimit));
  BOOST_TEST((defaults.lateAfter == derived.lateAfter));
  BOOST_TEST((defaults.repeat == derived.repeat));
}

BOOST_AUTO_TEST_SUITE_END()
