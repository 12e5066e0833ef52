#include "UnitTests/Relay/RelayFixture.h"
#include "UnitTests/Support/LoopbackPeers.h"

#include <future>
#include <tuple>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Endpoints of one service with two software versions. Each stream breaks off after the event of its first endpoint; any
/// other endpoint completes it.
class MixedFleet
{
public:
  /// @param aBit  bit of an endpoint's index that tells its version, so that any two endpoints differ for one of the bits
  /// @param aBreaks  whether streams break off after the first event; otherwise they stay open
  explicit MixedFleet(unsigned aBit, bool aBreaks = true)
    : breaks(aBreaks)
  {
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>(
        [this, index](const std::string& aRequest) { return this->Respond(index, aRequest); }));
      this->endpoints.push_back(this->servers.back().get());
      this->versions.push_back((index >> aBit) % 2 == 0 ? "v1" : "v2");
    }
  }

  static constexpr std::size_t kEndpoints = 8;
  static constexpr unsigned kBits = 3;

  /// Software versions of the endpoints that received the request, in order.
  [[nodiscard]] std::vector<std::string> ReceivedAt()
  {
    const std::lock_guard lock(this->mutex);
    return this->receivedAt;
  }

  /// Index of the endpoint that received the first request.
  [[nodiscard]] std::size_t FirstReceiver()
  {
    const std::lock_guard lock(this->mutex);
    return this->receivers.at(0);
  }

  /// Address to which the state of a run was to be moved; empty while there was no such request.
  [[nodiscard]] std::string MoveDestination()
  {
    const std::lock_guard lock(this->mutex);
    return this->moveDestination;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<const ScriptedServer*> endpoints;
  std::vector<std::string> versions;

private:
  Script Respond(std::size_t aIndex, const std::string& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    if (aRequest.starts_with("POST /move")) {
      this->moveDestination = aRequest.substr(aRequest.rfind(' ') + 1);
      return Send(MakeResponse("", "503 Busy"));
    }
    this->receivers.push_back(aIndex);
    this->receivedAt.push_back(this->versions[aIndex]);
    if (aRequest.find("After: 1\r\n") != std::string::npos) {
      return Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
    return { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
             { Kind::Wait, {}, this->breaks ? Milliseconds(20) : Seconds(10) },
             { Kind::Reset } };
  }

  const bool breaks;

  std::mutex mutex;
  std::vector<std::string> receivedAt;
  std::vector<std::size_t> receivers;
  std::string moveDestination;
};

/// Knows no origin. Says, as a daemon that has missed a rollout, that the service has run v1 only.
class OutdatedOrigins final : public StreamOriginStore
{
public:
  void Record(std::uint64_t, const StreamOrigin&) override {}
  void Find(const StreamOriginRequest&, StreamOriginHandler aFound) override
  {
    aFound({ std::nullopt, "v1" });
    this->asked = true;
  }

  std::atomic<bool> asked{ false };
};

/// A daemon that has not read the endpoints for two seconds and knows endpoints of v1 only; a stream is taken up there.
struct OutdatedDaemon
{
  OutdatedDaemon()
  {
    this->endpoints.lastEventId = "1";
    this->endpoints.resumedId = "r0";
    this->endpoints.SetSoftwareVersions({ "v1", "v1" });
    this->versions.OnSnapshot(*this->endpoints.fleet.Get());
    this->versions.OnCurrent(this->clock.BootNow() - Seconds(2));
    this->endpoints.Submit(this->caller, RelayKind::Stream, true, Seconds(5));
  }

  /// The daemon reads endpoints of these versions once it has asked for the origin.
  void Read(const std::vector<std::string>& aVersions)
  {
    Await([this] { return this->origins.asked.load(); });
    // The loop notes when it received the reply
    std::promise<void> received;
    this->endpoints.service.Loop().Post([&received] { received.set_value(); });
    received.get_future().wait();
    this->endpoints.SetSoftwareVersions(aVersions);
    this->versions.OnSnapshot(*this->endpoints.fleet.Get());
    this->versions.OnCurrent(this->clock.BootNow());
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    return this->left.Requests().size() + this->right.Requests().size();
  }

  static Script Continue(const std::string& /*aRequest*/)
  {
    return Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  }

  SystemClock clock;
  const ScriptedServer left{ Continue };
  const ScriptedServer right{ Continue };
  OutdatedOrigins origins;
  SoftwareVersionHistory versions{ clock };
  TestCaller caller;
  RelayFixture endpoints{ { &left, &right }, {}, {}, nullptr, {}, { &origins, &versions } };
};

/// Begins a stream whose caller leaves after the first event.
void
BeginAndLeave(RelayFixture& aRelay)
{
  TestCaller caller;
  aRelay.Submit(caller, RelayKind::Stream, true, Seconds(5));
  Await([&] { return caller.HasEvents(); });
  caller.disconnected = true;
  std::ignore = caller.Wait();
}

/// Makes the next request take that stream up.
void
TakeUp(RelayFixture& aRelay)
{
  aRelay.lastEventId = "1";
  aRelay.resumedId = "r1";
}

/// Three endpoints of version v1. The one that receives the stream sends an event, and later what `rest` says.
class RestartingFleet
{
public:
  explicit RestartingFleet(const Script& aRest)
  {
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>([aRest](const std::string&) {
        Script script{ { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
                       { Kind::Wait, {}, Milliseconds(500) } };
        script.insert(script.end(), aRest.begin(), aRest.end());
        return script;
      }));
      this->endpoints.push_back(this->servers.back().get());
    }
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const ScriptedServer* server : this->endpoints) {
      count += server->Requests().size();
    }
    return count;
  }

  /// Port of the endpoint that received the first request.
  [[nodiscard]] std::uint16_t ReceiverPort() const
  {
    const auto receiver =
      std::find_if(this->endpoints.begin(), this->endpoints.end(),
                   [](const ScriptedServer* aEach) { return !aEach->Requests().empty(); });
    return (*receiver)->Port();
  }

  static constexpr std::size_t kEndpoints = 3;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<const ScriptedServer*> endpoints;
};

/// Begins a stream and publishes after its first event that its endpoint has restarted with another version.
void
BeginAndRestart(RelayFixture& aRelay, const RestartingFleet& aFleet, TestCaller& aCaller)
{
  aRelay.SetSoftwareVersions(std::vector<std::string>(RestartingFleet::kEndpoints, "v1"));
  // The endpoint is silent for longer than usual
  aRelay.eventIntervalTarget = Seconds(2);
  aRelay.Submit(aCaller, RelayKind::Stream, true, Seconds(8));
  Await([&] { return aCaller.HasEvents(); });
  aRelay.MarkRestarted(aFleet.ReceiverPort(), "v2");
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStreamVersionTests)

/// Guards against streams that hold events of two versions: their endpoint had already restarted with another one when it
/// received them, its state was read later, and they were then continued elsewhere.
BOOST_AUTO_TEST_CASE(StreamStaysAtAnEndpointWhoseNewVersionIsReadLate)
{
  const RestartingFleet fleet({ { Kind::Send, Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } });
  RelayFixture relay(fleet.endpoints);
  TestCaller caller;
  BeginAndRestart(relay, fleet, caller);
  const Received received = caller.Wait();
  BOOST_TEST(!received.aborted);
  BOOST_TEST(received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(fleet.RequestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(StreamOfAnUnknownVersionIsNotContinuedElsewhere)
{
  const RestartingFleet fleet({ { Kind::Reset } });
  RelayFixture relay(fleet.endpoints);
  TestCaller caller;
  BeginAndRestart(relay, fleet, caller);
  BOOST_TEST(caller.Wait().aborted);
  BOOST_TEST(fleet.RequestCount() == 1U);
  // Nor is it when its caller takes it up
  TakeUp(relay);
  const Received rest = relay.SendRequest(RelayKind::Stream, true);
  BOOST_REQUIRE(rest.error.has_value());
  BOOST_TEST((rest.error->kind == ErrorKind::OriginGone));
  BOOST_TEST((rest.error->ran == Ran::No));
  BOOST_TEST(fleet.RequestCount() == 1U);
}

/// Guards against a stream of a new version that is taken up at a daemon that was cut off or stood still while endpoints of
/// that version came, and that goes on at the version which that daemon takes for the only one.
BOOST_AUTO_TEST_CASE(DaemonThatMissedANewVersionRefusesItsStreams)
{
  OutdatedDaemon neverReads;
  const Received unread = neverReads.caller.Wait();
  BOOST_REQUIRE(unread.error.has_value());
  BOOST_TEST((unread.error->kind == ErrorKind::UnknownOrigin));
  BOOST_TEST(neverReads.RequestCount() == 0U);

  OutdatedDaemon reads;
  reads.Read({ "v1", "v2" });
  const Received refused = reads.caller.Wait();
  BOOST_REQUIRE(refused.error.has_value());
  BOOST_TEST((refused.error->kind == ErrorKind::UnknownOrigin));
  BOOST_TEST(reads.RequestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(DaemonThatMissedNothingContinuesStreamsOfTheOnlyVersion)
{
  OutdatedDaemon reads;
  reads.Read({ "v1", "v1" });
  BOOST_TEST(reads.caller.Wait().events == "id: 2\ndata: b\n\n");
}

// Guards against a stream whose endpoint breaks off and that is resumed within the same response at an endpoint of
// another software version
BOOST_AUTO_TEST_CASE(BrokenStreamContinuesAtItsSoftwareVersion)
{
  constexpr unsigned kStreams = 12;
  int mixed = 0;
  unsigned complete = 0;
  for (unsigned number = 0; number < kStreams; ++number) {
    // New endpoints each time, as the failures of earlier streams would count against them
    MixedFleet fleet(number % MixedFleet::kBits);
    RelayFixture relay(fleet.endpoints);
    relay.SetSoftwareVersions(fleet.versions);
    const Received received = relay.SendRequest(RelayKind::Stream, true);
    const std::vector<std::string> versions = fleet.ReceivedAt();
    BOOST_REQUIRE(!versions.empty());
    mixed += versions.front() != versions.back() ? 1 : 0;
    complete += received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" ? 1 : 0;
  }
  BOOST_TEST(mixed == 0);
  BOOST_TEST(complete == kStreams);
}

// Guards against a stream that its caller takes up in a second request and that continues at another software version
BOOST_AUTO_TEST_CASE(TakenUpStreamContinuesAtItsSoftwareVersion)
{
  for (unsigned bit = 0; bit < MixedFleet::kBits; ++bit) {
    MixedFleet fleet(bit, false);
    RelayFixture relay(fleet.endpoints);
    relay.SetSoftwareVersions(fleet.versions);
    BeginAndLeave(relay);
    TakeUp(relay);
    const Received rest = relay.SendRequest(RelayKind::Stream, true);
    BOOST_TEST(rest.events == "id: 2\ndata: b\n\n");
    const std::vector<std::string> versions = fleet.ReceivedAt();
    BOOST_REQUIRE_EQUAL(versions.size(), 2U);
    BOOST_TEST(versions.front() == versions.back());
  }
}

// Guards against a stream of which nothing is known and that continues at whatever version is at hand
BOOST_AUTO_TEST_CASE(TakenUpStreamOfUnknownOriginIsRefusedAsNotRun)
{
  MixedFleet fleet(0);
  RelayFixture relay(fleet.endpoints);
  relay.SetSoftwareVersions(fleet.versions);
  for (const char* resumed : { "r1", "" }) {
    relay.lastEventId = "1";
    relay.resumedId = resumed;
    const Received received = relay.SendRequest(RelayKind::Stream, true);
    BOOST_REQUIRE(received.error.has_value());
    BOOST_TEST((received.error->kind == ErrorKind::UnknownOrigin));
    BOOST_TEST((received.error->ran == Ran::No));
  }
  BOOST_TEST(fleet.ReceivedAt().empty());
}

// Guards against callers that wait for a software version that no endpoint runs any more
BOOST_AUTO_TEST_CASE(TakenUpStreamIsRefusedAtOnceWhenItsVersionIsGone)
{
  MixedFleet fleet(0, false);
  RelayFixture relay(fleet.endpoints);
  relay.SetSoftwareVersions(fleet.versions);
  BeginAndLeave(relay);
  const std::string version = fleet.ReceivedAt().front();
  for (std::size_t index = 0; index < fleet.versions.size(); ++index) {
    if (fleet.versions[index] == version) {
      relay.MarkLeaving(fleet.endpoints[index]->Port());
    }
  }
  TakeUp(relay);
  const TimePoint sentAt = relay.clock.Now();
  const Received received = relay.SendRequest(RelayKind::Stream, true);
  BOOST_TEST((relay.clock.Now() - sentAt < Milliseconds(500)));
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->kind == ErrorKind::OriginGone));
  BOOST_TEST((received.error->ran == Ran::No));
  BOOST_TEST(fleet.ReceivedAt().size() == 1U);
}

// Guards against the state of a run that is copied to an endpoint of another software version
BOOST_AUTO_TEST_CASE(StreamOfALeavingEndpointIsMovedWithinItsSoftwareVersion)
{
  for (unsigned bit = 0; bit < MixedFleet::kBits; ++bit) {
    MixedFleet fleet(bit, false);
    RelayFixture relay(fleet.endpoints);
    relay.SetSoftwareVersions(fleet.versions);
    TestCaller caller;
    relay.Submit(caller, RelayKind::Stream, false, Seconds(5));
    Await([&] { return caller.HasEvents(); });
    const std::size_t source = fleet.FirstReceiver();
    relay.MarkLeaving(fleet.endpoints[source]->Port());
    Await([&] { return !fleet.MoveDestination().empty(); });
    const std::string destination = fleet.MoveDestination();
    for (std::size_t index = 0; index < fleet.endpoints.size(); ++index) {
      if (destination.ends_with(fmt::format(":{}", fleet.endpoints[index]->Port()))) {
        BOOST_TEST(fleet.versions[index] == fleet.versions[source]);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
