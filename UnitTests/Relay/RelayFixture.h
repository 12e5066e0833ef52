#pragma once

#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Relay/RelayService.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <condition_variable>
#include <mutex>

namespace lagoonward::testing {

using Kind = ScriptStep::Kind;

/// Minimal dialect: responses echo the request id and carry a mark of the endpoint.
struct TestDialect
{
  [[nodiscard]] std::vector<std::string> WriteHeaders(const RelayCall& aCall,
                                                      const SendOptions& aTerms) const
  {
    return { "Id: " + aCall.id, fmt::format("Endpoint: {}", aTerms.endpointId),
             fmt::format("After: {}", aTerms.lastEventId),
             fmt::format("Copy: {}", aTerms.stateHandle) };
  }

  [[nodiscard]] EndpointHead ReadHead(const RelayCall& aCall, int aStatus,
                                      std::span<const HttpHeader> aHeaders) const
  {
    EndpointHead head;
    head.status = aStatus;
    for (const auto& [name, value] : aHeaders) {
      head.matchesRequest = head.matchesRequest || (name == "Id" && value == aCall.id);
      head.namesOtherRequest = head.namesOtherRequest || (name == "Id" && value != aCall.id);
      head.isMarked = head.isMarked || name == "Mark";
      head.notRun = head.notRun || name == "Not-Run";
      head.streamsEvents = head.streamsEvents || value == "text/event-stream";
      if (name == "Brittle") {
        head.brittleness = { AdvertisedBrittleness::Kind::Brittle, std::stod(value) };
      }
      head.isLeaving = head.isLeaving || name == "Leaving";
      if (name == "Backoff") {
        head.backoff = { AdvertisedBackoff::Kind::Backoff, Milliseconds(std::stoi(value)) };
      }
      if (name == "Limit") {
        head.limit = { AdvertisedLimit::Kind::Limited, std::stod(value) };
      }
    }
    return head;
  }

  [[nodiscard]] MoveRequest WriteMove(const RelayCall& aCall, std::string_view aDestination) const
  {
    return { "/move", fmt::format("{} {}", aCall.id, aDestination) };
  }

  [[nodiscard]] MoveResult ReadMove(int aStatus, const std::string& aBody) const
  {
    MoveResult end;
    end.handle = aBody;
    end.moved = aStatus == 200 && !aBody.empty();
    const bool isRefused = aStatus == 404 || aStatus == 409 || (aStatus == 503 && aBody.empty());
    const bool isStopped = end.moved || (aStatus == 503 && !aBody.empty());
    end.stopState = isStopped   ? StopState::Stopped
                    : isRefused ? StopState::NotStopped
                                : StopState::Unknown;
    return end;
  }

  [[nodiscard]] std::string WriteRelease(std::string_view aHandle) const
  {
    return fmt::format("/copies/{}", aHandle);
  }
};

/// Everything that one caller received.
struct Received
{
  std::optional<RelayReply> reply;
  std::optional<Error> error;
  std::string events;
  bool streamed = false;
  bool ended = false;
  bool aborted = false;
};

/// Collects the response and lets the test wait for its end.
class TestCaller
{
public:
  /// What the caller has not read of its response. Outlives the caller, as connections do.
  struct UnreadBytes
  {
    std::atomic<std::size_t> bytes{ 0 };
    std::atomic<bool> isDiscarded{ false };
  };

  class Connection final : public RelayCaller
  {
  public:
    explicit Connection(TestCaller& aOwner)
      : owner(aOwner)
      , unread(aOwner.unread)
    {
    }

    void SendResponse(RelayReply aReply) override
    {
      this->owner.Change([&](Received& aReceived) {
        aReceived.reply = std::move(aReply);
        aReceived.ended = true;
      });
    }
    void SendError(const Error& aError) override
    {
      this->owner.Change([&](Received& aReceived) {
        aReceived.error = aError;
        aReceived.ended = true;
      });
    }
    void BeginStream(const RelayReply&) override
    {
      this->owner.Change([](Received& aReceived) { aReceived.streamed = true; });
    }
    void WriteEvent(std::string_view aBytes) override
    {
      this->owner.Change([&](Received& aReceived) { aReceived.events += aBytes; });
    }
    void EndStream() override
    {
      this->owner.Change([](Received& aReceived) { aReceived.ended = true; });
    }
    void AbortStream() override
    {
      this->owner.Change([](Received& aReceived) { aReceived.aborted = aReceived.ended = true; });
    }
    [[nodiscard]] bool IsDisconnected() override
    {
      return this->unread->isDiscarded || this->owner.disconnected;
    }
    [[nodiscard]] std::size_t HeldBytes() override { return this->unread->bytes; }
    void Discard() override
    {
      this->unread->bytes = 0;
      this->unread->isDiscarded = true;
    }

  private:
    TestCaller& owner;
    std::shared_ptr<UnreadBytes> unread;
  };

  template<typename Edit>
  void Change(Edit aEdit)
  {
    const std::lock_guard lock(this->mutex);
    aEdit(this->received);
    this->changed.notify_all();
  }

  [[nodiscard]] Received Wait()
  {
    std::unique_lock lock(this->mutex);
    BOOST_TEST(this->changed.wait_for(lock, Seconds(10), [&] { return this->received.ended; }));
    return this->received;
  }

  [[nodiscard]] bool HasEvents()
  {
    const std::lock_guard lock(this->mutex);
    return !this->received.events.empty();
  }

  std::atomic<bool> disconnected{ false };
  std::shared_ptr<UnreadBytes> unread = std::make_shared<UnreadBytes>();

private:
  std::mutex mutex;
  std::condition_variable changed;
  Received received;
};

class CountingObserver final : public RelayObserver
{
public:
  void OnAccepted(const RelayCall&) override {}
  void OnSent(const RelayCall&, const Endpoint& aEndpoint, const SendRecord& aSend) override
  {
    ++this->sent;
    if (this->onSent) {
      this->onSent(aEndpoint.id, aSend.send);
    }
    this->sendsWithDemand += aSend.work.calls + aSend.work.outputTokens > 0 ? 1 : 0;
  }
  void OnResumption(const RelayCall&, ResumptionOutcome, std::string_view) override {}
  void OnStarted(const RelayCall&) override { ++this->started; }
  void OnAttemptFailed(const RelayCall&, const FailedAttempt& aFailed) override
  {
    if (this->onAttemptFailed) {
      this->onAttemptFailed(aFailed);
    }
  }
  void OnMoved(const RelayCall&, const MoveReport& aMove) override
  {
    this->moved += aMove.outcome == MoveKnowledge::Moved ? 1 : 0;
  }
  void OnEnded(const RelayCall&, const RelayResult& aEnd) override
  {
    ++this->ended;
    if (this->onEnded) {
      this->onEnded(aEnd);
    }
  }

  std::function<void(std::string_view aEndpoint, int aSend)> onSent; ///< Called on the loop.
  std::function<void(const FailedAttempt&)> onAttemptFailed;         ///< As are these.
  std::function<void(const RelayResult&)> onEnded;
  std::atomic<int> sent{ 0 };
  std::atomic<int> sendsWithDemand{ 0 }; ///< Sends that reported work.
  std::atomic<int> started{ 0 };
  std::atomic<int> ended{ 0 };
  std::atomic<int> moved{ 0 };
};

/// What a relay service asks about the origins of streams; null for what it has itself.
struct OriginSources
{
  StreamOriginStore* origins = nullptr;
  SoftwareVersionHistory* versions = nullptr;
};

/// A relay service with scripted endpoints of one service.
class RelayFixture
{
public:
  explicit RelayFixture(const std::vector<const ScriptedServer*>& aEndpoints,
                        const MarketSettings& aMarket = {},
                        const std::vector<ManifestClient>& aClients = {},
                        SnapshotGuard* aGuard = nullptr, const RelaySettings& aSettings = {},
                        const OriginSources& aSources = {})
    : market("m", aMarket, clock, 1)
    , service(aSettings, MakeAnyEndpointDialect(TestDialect()), market, fleet, observer, clock)
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->offset = 1;
    configuration->manifest.failureDomains = { "d" };
    configuration->manifest.services = { { "s", false } };
    configuration->manifest.clients = aClients;
    this->market.ApplyConfiguration(configuration);
    auto snapshot = std::make_shared<FleetSnapshot>();
    for (const ScriptedServer* server : aEndpoints) {
      Endpoint endpoint;
      endpoint.movesStreams = true;
      endpoint.id = fmt::format("e{}", snapshot->endpoints.size());
      endpoint.kind = EndpointKind::Service;
      endpoint.name = "s";
      endpoint.address = "127.0.0.1";
      endpoint.port = server->Port();
      endpoint.failureDomain = "d";
      snapshot->endpoints.push_back(std::move(endpoint));
    }
    this->fleet.Publish(snapshot);
    this->market.ApplyFleet(*snapshot);
    if (aGuard != nullptr) {
      this->service.SetSnapshotGuard(*aGuard);
    }
    if (aSources.origins != nullptr) {
      this->service.SetStreamOrigins(*aSources.origins, aSources.versions);
    }
    BOOST_TEST(this->service.Start().has_value());
  }

  ~RelayFixture() { this->service.Stop(); }

  /// Publishes that the endpoints run these software versions, in the order of their addition.
  void SetSoftwareVersions(const std::vector<std::string>& aVersions)
  {
    auto snapshot = std::make_shared<FleetSnapshot>(*this->fleet.Get());
    for (std::size_t index = 0; index < aVersions.size(); ++index) {
      snapshot->endpoints.at(index).softwareVersion = aVersions[index];
    }
    this->fleet.Publish(snapshot);
    this->market.ApplyFleet(*snapshot);
    this->service.OnFleet(snapshot);
  }

  /// Publishes that the endpoint with that port is leaving.
  void MarkLeaving(std::uint16_t aPort)
  {
    auto snapshot = std::make_shared<FleetSnapshot>(*this->fleet.Get());
    for (Endpoint& endpoint : snapshot->endpoints) {
      if (endpoint.port == aPort) {
        endpoint.state = EndpointState::Leaving;
      }
    }
    this->fleet.Publish(snapshot);
    this->market.ApplyFleet(*snapshot);
    this->service.OnFleet(snapshot);
  }

  /// Publishes that there is no endpoint with that port any more.
  void Remove(std::uint16_t aPort)
  {
    auto snapshot = std::make_shared<FleetSnapshot>(*this->fleet.Get());
    std::erase_if(snapshot->endpoints,
                  [&](const Endpoint& aEndpoint) { return aEndpoint.port == aPort; });
    this->fleet.Publish(snapshot);
    this->market.ApplyFleet(*snapshot);
    this->service.OnFleet(snapshot);
  }

  /// Publishes that the endpoint with that port has restarted under the same id, with this software version.
  void MarkRestarted(std::uint16_t aPort, const std::string& aVersion = {})
  {
    auto snapshot = std::make_shared<FleetSnapshot>(*this->fleet.Get());
    for (Endpoint& endpoint : snapshot->endpoints) {
      if (endpoint.port == aPort) {
        ++endpoint.incarnation;
        endpoint.softwareVersion = aVersion;
      }
    }
    this->fleet.Publish(snapshot);
    this->market.ApplyFleet(*snapshot);
    this->service.OnFleet(snapshot);
  }

  Received SendRequest(RelayKind aKind, bool aResumable = false, Milliseconds aTimeout = Seconds(5))
  {
    TestCaller caller;
    this->Submit(caller, aKind, aResumable, aTimeout);
    return caller.Wait();
  }

  /// Sends a request with the given body.
  Received SendRequestWithBody(const std::string& aBody, RelayKind aKind)
  {
    TestCaller caller;
    this->body = aBody;
    this->Submit(caller, aKind, false, Seconds(5));
    return caller.Wait();
  }

  void Submit(TestCaller& aCaller, RelayKind aKind, bool aResumable, Milliseconds aTimeout,
              const std::string& aAccount = {}, double aTokens = 0)
  {
    RelayRoute route;
    route.kind = aKind;
    route.resumable = aResumable;
    route.attempts = 2;
    route.timeout = aTimeout;
    route.firstEventTarget = this->firstEventTarget;
    route.eventIntervalTarget = this->eventIntervalTarget;
    route.services = { { "s", 1 } };
    RelayCall call;
    call.id = "r1";
    call.method = "POST";
    call.target = "/a/./b?x=%41";
    call.body = this->body;
    call.outputTokens = 100;
    call.lastEventId = this->lastEventId;
    call.resumedId = this->resumedId;
    call.promptParts = this->promptParts;
    call.route = std::make_shared<const RelayRoute>(route);
    call.service = "s";
    call.account = aAccount;
    call.limitTokens = aTokens;
    call.receivedAt = this->clock.Now();
    call.deadline = call.receivedAt + Seconds(20);
    this->service.Submit(std::move(call), std::make_unique<TestCaller::Connection>(aCaller));
  }

  SystemClock clock;
  std::string body = "body";
  std::string lastEventId; ///< Of the requests sent from now on, as is the next.
  std::string resumedId;
  std::vector<PromptPart> promptParts;
  Milliseconds firstEventTarget{ 1000 };
  Milliseconds eventIntervalTarget{ 200 };
  Market market;
  FleetStore fleet;
  CountingObserver observer;
  RelayService service;
};

inline std::string
MakeResponse(const std::string& aBody, const std::string& aStatus = "200 OK",
             const std::string& aHeaders = "Id: r1\r\nMark: m\r\n")
{
  return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", aStatus, aHeaders,
                     aBody.size(), aBody);
}

inline const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

inline std::string
Chunk(const std::string& aBytes)
{
  return fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes);
}

inline Script
Send(std::string aBytes)
{
  return { { Kind::Send, std::move(aBytes) } };
}

/// Responds to the first request with one script and to all others with another.
inline ScriptedServer::Handler
RespondFirstThen(const Script& aFirst, const Script& aThen)
{
  return [count = std::make_shared<std::atomic<int>>(0), aFirst, aThen](const std::string&) {
    return (*count)++ == 0 ? aFirst : aThen;
  };
}

} // namespace lagoonward::testing
