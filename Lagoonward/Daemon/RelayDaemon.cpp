#include "Lagoonward/Daemon/RelayDaemon.h"

#include "Lagoonward/Daemon/DrainSchedule.h"
#include "Lagoonward/Daemon/PeerKeys.h"
#include "Lagoonward/Daemon/QueuedServices.h"
#include "Lagoonward/Daemon/RelayTuning.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <thread>

namespace lagoonward {

namespace {

const Log kLog("daemon");

constexpr std::string_view kRelayMarket = "relay";
constexpr std::string_view kConfigurationState = "relay/configuration";

/// The time in which a configuration must be in force, divided by this, is the time that peers have to begin to deliver a
/// configuration whose version they have announced; afterwards it is read from the source.
constexpr int kConfigurationWaitDivisor = 4;

/// A transfer of a configuration whose last piece arrived a shorter time ago is still in progress.
constexpr Milliseconds kTransferPause{ 300 };

/// The number of daemons changes with the time as well, without any event.
constexpr Milliseconds kDaemonCountInterval{ 500 };

constexpr Milliseconds kDrainPollInterval{ 20 };

/// Polls for which abandoned requests may take to be answered. A count, since a process that stood still would find any
/// time passed.
constexpr int kFlushPolls = 22;

constexpr std::size_t kForwardTokenBytes = 16;

/// A crash concerns several parts of each request that ran there.
constexpr std::size_t kRetainedPartCrashes = 1024;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Memory of a connection: the largest header block, and what the HTTP library needs in addition.
constexpr std::size_t kConnectionMemory = 48U << 10U;

/// Of that, what a head may take: the rest is for what the library notes of each header line.
constexpr std::size_t kMaximumHead = 40U << 10U;

/// Settings of a server for requests of callers.
HttpServerSettings
MakeCallServerSettings(const SocketAddress& aAddress, unsigned aMaximumConnections)
{
  HttpServerSettings settings;
  settings.address = aAddress.address;
  settings.port = aAddress.port;
  settings.maximumConnections = aMaximumConnections;
  settings.connectionMemoryBytes = kConnectionMemory;
  return settings;
}

/// Settings of a server for requests without a body.
HttpServerSettings
MakeProbeServerSettings(const SocketAddress& aAddress, unsigned aMaximumConnections)
{
  HttpServerSettings settings;
  settings.address = aAddress.address;
  settings.port = aAddress.port;
  settings.maximumConnections = aMaximumConnections;
  settings.limits.maximumBodyBytes = 0;
  return settings;
}

} // namespace

RelayDaemon::RelayDaemon(RelayDaemonSettings aSettings, const Clock& aClock)
  : settings(std::move(aSettings))
  , clock(aClock)
  , markets(MarketSettingsOf(this->settings), aClock, HashBytes(this->settings.peer.address))
  , market(this->markets.FindOrAdd(std::string(kRelayMarket)))
  , reporter(aClock)
  , versions(aClock)
  , usage(this->settings.usageWindow, aClock)
  , connectionLimits(ConnectionLimitsOf(this->settings, ProcessDescriptorLimit()))
  , incarnation(
      fmt::format("{}@{}", this->settings.peer.address, ToUnixMilliseconds(aClock.WallNow())))
  , daemonCount(DaemonCountSettings{}, aClock.Now())
  , seeds(this->settings.seeds)
{
}

RelayDaemon::~RelayDaemon()
{
  this->Stop();
}

Result<void>
RelayDaemon::Start(RelayPorts aPorts)
{
  if (sodium_init() < 0) {
    return Error(ErrorKind::Internal,
                 "libsodium could not be initialized; the daemon does not start.");
  }
  this->ports = std::move(aPorts);
  if (auto built = this->BuildMembership(); !built) {
    return built;
  }
  this->relay = &this->kernel.Add(
    std::make_unique<RelayService>(RelaySettingsOf(this->settings), this->ports.endpoints,
                                   *this->market, this->fleet, this->reporter, this->clock));
  this->market->notices.SetLeavingListener(
    [this] { this->membership->Loop().Post([this] { this->PublishFleet(); }); });
  this->relay->SetTokenSource(*this->limitTokenExchange);
  this->relay->SetPermitSource(*this->permitExchange);
  this->relay->SetPlaceSource(*this->placeExchange);
  this->relay->SetSlotSource(*this->slotExchange);
  this->relay->SetStreamOrigins(*this->streamOrigins, &this->versions);
  this->relay->SetSnapshotGuard(this->endpointReplicator->Guard());
  this->BuildLeaderTasks();
  this->BuildServers();
  this->BuildForwarding();
  this->configurationLoader = std::make_unique<ConfigurationLoader>(
    this->ports.decodeConfiguration,
    [this](LoadedConfiguration aLoaded) {
      this->membership->Loop().Run(
        [this, &aLoaded] { this->ApplyConfiguration(std::move(aLoaded)); });
    },
    this->clock);
  this->configurationLoader->Start();
  if (auto started = this->kernel.StartAll(); !started) {
    return started;
  }
  for (HttpServer* server : { this->callerServer.get(), this->readinessServer.get(),
                              this->metricsServer.get(), this->forwardServer.get() }) {
    if (server == nullptr) {
      continue;
    }
    if (auto started = server->Start(); !started) {
      return started;
    }
  }
  this->membership->Loop().Run([this] {
    this->loadExchange->Start();
    this->placeExchange->Start();
    this->slotExchange->Start();
    this->ApplyDaemonList();
    this->PollDaemonCount();
    this->SweepConnections();
    this->endpointReplicator->Start();
    this->forwardExchange->Start();
  });
  kLog.Event("started", { { "host", this->settings.name },
                          { "failure_domain", this->settings.failureDomain },
                          { "version", LAGOONWARD_VERSION } });
  return boost::outcome_v2::success();
}

Result<void>
RelayDaemon::BuildMembership()
{
  auto keys = ParsePeerKeys(this->settings.peerKeys, this->settings.cluster);
  if (!keys) {
    return keys.error();
  }
  MembershipIdentity identity;
  identity.self.id = this->settings.peer.address;
  identity.self.address = this->settings.peer.address;
  identity.self.port = this->settings.peer.port;
  identity.self.failureDomain = this->settings.failureDomain;
  identity.self.region = this->settings.region;
  const PeerInfo self = identity.self;
  identity.session = static_cast<std::uint64_t>(ToUnixMilliseconds(this->clock.WallNow()));
  // Endpoints publish their state in the platform's store, so daemons do not poll them
  const auto poll = [this](const HostEntry&, const MembershipService::PollDone& aDone) {
    EndpointLoad nothing;
    nothing.asOf = this->clock.WallNow();
    aDone(std::move(nothing));
  };
  MembershipSettings membershipSettings;
  membershipSettings.transport.maximumConnections = this->connectionLimits.peers;
  this->membership = &this->kernel.Add(std::make_unique<MembershipService>(
    this->clock, std::move(identity), std::move(keys.value()), membershipSettings, poll));
  this->membership->OnState([this](const SharedState& aState) {
    if (aState.name != kConfigurationState) {
      return false;
    }
    this->OnPeerConfiguration(aState);
    return true;
  });
  this->membership->OnPeers([this](const PeerViewPtr& aView) {
    this->market->SetLiveDaemons(static_cast<int>(aView->peers.size()) + 1);
    this->daemonCount.OnPeers(*aView, this->clock.Now());
    this->UpdateDaemonCount();
    this->keyOwners->OnPeers(*aView);
    this->limitTokenExchange->OnKeyOwnersChanged();
    this->crashExchange->OnKeyOwnersChanged();
    this->partCrashExchange->OnKeyOwnersChanged();
    this->placeExchange->OnPeers(*aView);
    this->slotExchange->OnPeers(*aView);
    this->streamOrigins->OnKeyOwnersChanged();
  });
  LoadExchangeInputs facts;
  facts.self = self;
  facts.run = HashBytes(this->incarnation);
  facts.usage = [this] { return this->usage.Read(); };
  facts.leader = [this] { return this->leaderTasks->OwnAnnouncement(); };
  facts.market = this->market.get();
  this->loadExchange = std::make_unique<LoadExchange>(LoadExchangeSettings{}, std::move(facts),
                                                      *this->membership, this->clock);
  this->keyOwners = std::make_unique<KeyOwnerDirectory>(self, this->clock);
  this->limitTokenExchange =
    std::make_unique<LimitTokenExchange>(KeyOwnerQuerySettings{}, *this->keyOwners,
                                         *this->membership, this->market->admission, this->clock);
  this->crashExchange =
    std::make_unique<CrashExchange>(CrashExchangeSettings{}, *this->keyOwners, *this->membership,
                                    this->market->poison, this->clock);
  CrashExchangeSettings partSettings;
  partSettings.message = PeerRequest::PartCrashReport;
  partSettings.maximumRetained = kRetainedPartCrashes;
  this->partCrashExchange = std::make_unique<CrashExchange>(
    partSettings, *this->keyOwners, *this->membership, this->market->poisonParts, this->clock);
  this->permitExchange =
    std::make_unique<PermitExchange>(KeyOwnerQuerySettings{}, *this->keyOwners, *this->membership,
                                     this->market->endpointLimits, this->clock);
  this->market->places.SetRun(HashBytes(this->incarnation));
  this->placeExchange =
    std::make_unique<PlaceExchange>(PlaceExchangeSettings{}, *this->keyOwners, *this->membership,
                                    this->market->places, this->market->brittle, this->clock);
  this->market->slots.SetRun(HashBytes(this->incarnation));
  this->slotExchange =
    std::make_unique<SlotExchange>(SlotExchangeSettings{}, self.Key(), *this->keyOwners,
                                   *this->membership, this->market->slots, this->clock);
  this->streamOrigins =
    std::make_unique<StreamOriginExchange>(StreamOriginExchangeSettings{}, *this->keyOwners,
                                           *this->membership, this->versions, this->clock);
  EndpointReplicatorHooks hooks;
  hooks.decode = this->ports.decodeEndpoint;
  hooks.onChanged = [this] { this->PublishFleet(); };
  hooks.onPeerSnapshot = [this] { this->knowsEndpoints = true; };
  hooks.onCurrent = [this](TimePoint aAsOf) { this->versions.OnCurrent(aAsOf); };
  hooks.configurationVersion = [this] { return this->ConfigurationVersion(); };
  this->forwardExchange = std::make_unique<ForwardExchange>(
    ForwardExchangeSettings{}, *this->membership, self,
    [this] { return this->relay->HasLostPath(); }, [this] { return this->OwnForwardState(); },
    this->clock);
  this->daemonLink = std::make_unique<MembershipLink>(*this->membership);
  this->endpointReplicator = std::make_unique<EndpointReplicator>(
    EndpointReplicatorSettingsFor(this->settings.leavingNotice, this->settings.endpointHeartbeat),
    *this->daemonLink, self, std::move(hooks), this->clock);
  this->reporter.SetEndpointsAge([this] { return this->endpointReplicator->Age(); });
  return boost::outcome_v2::success();
}

void
RelayDaemon::BuildLeaderTasks()
{
  LeaderTaskInputs facts;
  facts.self = this->settings.peer.address;
  facts.region = this->settings.region;
  facts.incarnation = this->incarnation;
  facts.activeConfiguration = [this] { return this->ConfigurationInForce(); };
  facts.logEpoch = [this] { return this->SourceEpoch(); };
  facts.fleet = &this->fleet;
  facts.router = &this->market->router;
  facts.load = this->loadExchange.get();
  this->leaderTasks = &this->kernel.Add(
    std::make_unique<LeaderTaskService>(LeaderTaskSettingsOf(this->settings), std::move(facts),
                                        this->ports.leaderTasks, this->usage, this->clock));
  this->reporter.SetBeganHandler([this](const RelayCall& aCall) {
    if (!aCall.account.empty()) {
      this->usage.OnStarted(aCall.account);
    }
  });
  this->reporter.SetSentHandler([this](const RelayCall& aCall, const EngineWork& aWork) {
    this->loadExchange->OnSent(aCall.service, aWork);
  });
}

void
RelayDaemon::BuildServers()
{
  this->connections =
    std::make_shared<ConnectionTable>(ConnectionTableSettingsOf(this->settings), this->clock);
  this->callerServer = std::make_unique<HttpServer>(
    MakeCallServerSettings(this->settings.listen, this->connectionLimits.callers),
    [this](HttpRequest aRequest, const HttpExchangePtr& aExchange) {
      this->HandleCall(std::move(aRequest), aExchange);
    },
    this->connections);
  this->readinessServer = std::make_unique<HttpServer>(
    MakeProbeServerSettings(this->settings.ready, this->connectionLimits.probes),
    [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
      aExchange->Respond(this->IsReady() ? kOk : kUnavailable, {}, {});
    },
    this->connections);
  if (this->settings.metrics.port != 0) {
    this->metricsServer = std::make_unique<HttpServer>(
      MakeProbeServerSettings(this->settings.metrics, this->connectionLimits.probes),
      [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
        aExchange->Respond(kOk, { { "Content-Type", "text/plain; version=0.0.4" } },
                           this->reporter.MetricsText(this->State()));
      },
      this->connections);
  }
}

void
RelayDaemon::BuildForwarding()
{
  std::array<unsigned char, kForwardTokenBytes> random{};
  randombytes_buf(random.data(), random.size());
  this->forwardToken = fmt::format("{:02x}", fmt::join(random, ""));
  if (this->settings.forward.address.empty()) {
    return;
  }
  this->forwardServer = std::make_unique<HttpServer>(
    MakeCallServerSettings(this->settings.forward, this->connectionLimits.forwarded),
    [this](HttpRequest aRequest, const HttpExchangePtr& aExchange) {
      this->HandleForwardedCall(std::move(aRequest), aExchange);
    },
    this->connections);
}

int
RelayDaemon::OpenExchanges() const
{
  return this->callerServer->OpenExchanges() +
         (this->forwardServer == nullptr ? 0 : this->forwardServer->OpenExchanges());
}

RelayConfigurationPtr
RelayDaemon::ConfigurationInForce() const
{
  return std::atomic_load(&this->configurationInForce);
}

RelayState
RelayDaemon::State() const
{
  RelayState state;
  const RelayConfigurationPtr current = this->ConfigurationInForce();
  state.configurationVersion = current == nullptr ? 0 : current->routes->Version();
  // A service that has lost its last endpoint is reported with zero
  if (current != nullptr) {
    for (const RelayServiceConfiguration& service : current->services) {
      state.endpoints[service.name] = {};
    }
  }
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    // Names of other services, which any writer of entries chooses, are no labels
    const auto configured = state.endpoints.find(endpoint.name);
    EndpointCounts& counts =
      configured == state.endpoints.end() ? state.endpointsOfOtherServices : configured->second;
    ++(endpoint.state == EndpointState::Live ? counts.live : counts.leaving);
  }
  state.daemons = this->LiveDaemons();
  state.openRequests = this->OpenExchanges();
  state.requestBytes = this->connections->Held();
  state.closedConnections = this->connections->Closed();
  state.isLeader = this->leaderTasks->IsLeader();
  state.isEndpointReader = this->endpointReplicator->ReadsForOthers();
  state.refusedRecords = this->endpointReplicator->RefusedRecords();
  state.endpointsAge = this->endpointReplicator->Age();
  state.poisonedRequests = this->market->poison.PoisonedCount();
  state.limitedEndpoints = static_cast<int>(this->market->endpointLimits.LimitedEndpoints().size());
  state.poisonedParts = this->market->poisonParts.PoisonedCount();
  state.brittleServices = this->market->brittle.Count();
  state.leavingByAnswer = this->market->notices.Count(EndpointNotice::Leaving);
  state.backoffEndpoints = this->market->notices.Count(EndpointNotice::Backoff);
  state.queues = this->slotExchange->State();
  return state;
}

int
RelayDaemon::LiveDaemons() const
{
  return static_cast<int>(this->membership->Peers()->peers.size()) + 1;
}

bool
RelayDaemon::IsReady() const
{
  return !this->draining && this->ConfigurationInForce() != nullptr && this->knowsEndpoints;
}

void
RelayDaemon::OnConfiguration(const std::string& aText)
{
  this->configurationLoader->Submit(aText, false);
}

void
RelayDaemon::OnPeerConfiguration(const SharedState& aState)
{
  this->receivedConfiguration = aState.version;
  this->configurationLoader->Submit(aState.bytes, true);
}

void
RelayDaemon::ApplyConfiguration(LoadedConfiguration aLoaded)
{
  if (!aLoaded.configuration) {
    kLog.Event(LogLevel::Warning, "configuration_refused",
               { { "reason", aLoaded.configuration.error().message },
                 { "from_peer", aLoaded.fromPeer },
                 { "bytes", aLoaded.text.size() },
                 { "decode_ms", aLoaded.decodeTime.count() } });
    if (aLoaded.fromPeer) {
      this->receivedConfiguration = -1;
    }
    return;
  }
  const auto next =
    std::make_shared<const RelayConfiguration>(std::move(aLoaded.configuration.value()));
  const std::int64_t version = next->routes->Version();
  const RelayConfigurationPtr current = this->ConfigurationInForce();
  if (current != nullptr && version <= current->routes->Version()) {
    return;
  }
  // Accounts first, as a request under the new routes needs its account
  auto configuration = std::make_shared<Configuration>();
  configuration->market = kRelayMarket;
  configuration->offset = version;
  configuration->manifest = next->manifest;
  this->market->ApplyConfiguration(configuration);
  this->ApplyCallerLimits(next->callerLimits);
  std::atomic_store(&this->configurationInForce, next);
  this->PublishFleet();
  kLog.Event("configuration", { { "version", version },
                                { "from_peer", aLoaded.fromPeer },
                                { "before", current ? current->routes->Version() : -1 },
                                { "bytes", aLoaded.text.size() },
                                { "decode_ms", aLoaded.decodeTime.count() } });
  for (const ManifestClient& client : next->manifest.clients) {
    kLog.Event("limit", { { "configuration", version },
                          { "account", client.name },
                          { "tokens_per_second", client.tokensPerSecond },
                          { "burst", client.burstTokens } });
  }
  if (!aLoaded.fromPeer) {
    this->membership->PublishState(
      { std::string(kConfigurationState), version, std::move(aLoaded.text) });
  }
}

void
RelayDaemon::OnEndpointRecord(EndpointRecord aRecord)
{
  this->membership->Loop().Post(
    [this, record = std::move(aRecord)] { this->endpointReplicator->OnRecord(record); });
}

void
RelayDaemon::OnEndpointFullRead(std::vector<EndpointRecord> aRecords, LogPosition aEndVersion)
{
  this->membership->Loop().Post([this, records = std::move(aRecords), aEndVersion] {
    this->endpointReplicator->OnFullRead(records, aEndVersion);
    // An empty list is a valid snapshot as well
    if (!this->knowsEndpoints.exchange(true)) {
      this->PublishFleet();
    }
  });
}

void
RelayDaemon::OnEndpointReadCompleted(TimePoint aAsOf, LogPosition aEndVersion)
{
  this->membership->Loop().Post(
    [this, aAsOf, aEndVersion] { this->endpointReplicator->OnReadCompleted(aAsOf, aEndVersion); });
}

void
RelayDaemon::OnEndpointSourceReachability(bool aAnswers)
{
  this->membership->Loop().Post(
    [this, aAnswers] { this->endpointReplicator->OnSourceReachability(aAnswers); });
}

std::int64_t
RelayDaemon::ConfigurationVersion() const
{
  const RelayConfigurationPtr current = this->ConfigurationInForce();
  return current == nullptr ? -1 : current->routes->Version();
}

bool
RelayDaemon::KnowsLiveDaemons() const
{
  const PeerViewPtr view = this->membership->Peers();
  return !view->peers.empty() &&
         std::none_of(view->peers.begin(), view->peers.end(),
                      [](const Peer& aPeer) { return aPeer.info.failureDomain.empty(); });
}

bool
RelayDaemon::ReadsEndpointsForOthers() const
{
  return this->endpointReplicator->ReadsForOthers();
}

bool
RelayDaemon::ReceivesConfigurationsFromPeers()
{
  if (this->endpointReplicator->WatchesSource() || this->ConfigurationInForce() == nullptr) {
    return false;
  }
  const TimePoint now = this->clock.Now();
  const std::int64_t known =
    std::max(this->ConfigurationVersion(), this->receivedConfiguration.load());
  const bool isArriving = this->membership->LastStateProgress() >= now - kTransferPause;
  if (this->endpointReplicator->NewestPeerConfiguration() <= known || isArriving) {
    this->upToDateAt = now;
  }
  return now - this->upToDateAt <= this->settings.configurationNotice / kConfigurationWaitDivisor;
}

Milliseconds
RelayDaemon::EndpointReadInterval() const
{
  return this->endpointReplicator->ReadInterval();
}

void
RelayDaemon::OnDaemonList(std::vector<HostEntry> aDaemons)
{
  this->membership->Loop().Post([this, daemons = std::move(aDaemons)] {
    this->listedDaemons = daemons;
    this->daemonCount.OnList(static_cast<int>(daemons.size()));
    this->ApplyDaemonList();
  });
}

void
RelayDaemon::OnSettings(const RelayDaemonSettings& aSettings)
{
  this->membership->Loop().Post([this, seeds = aSettings.seeds] {
    kLog.Event("reloaded", { { "seeds", seeds.size() } });
    this->seeds = seeds;
    this->ApplyDaemonList();
  });
}

void
RelayDaemon::ApplyDaemonList()
{
  std::vector<HostEntry> all = this->listedDaemons;
  for (const SocketAddress& seed : this->seeds) {
    const bool isListed = std::any_of(
      all.begin(), all.end(), [&](const HostEntry& aHost) { return aHost.id == seed.address; });
    if (!isListed) {
      HostEntry host;
      host.id = seed.address;
      host.kind = HostEntry::Kind::Daemon;
      host.address = seed.address;
      host.port = seed.port;
      host.region = this->settings.region;
      all.push_back(std::move(host));
    }
  }
  this->membership->ApplyHostList(std::move(all));
  this->UpdateDaemonCount();
}

void
RelayDaemon::UpdateDaemonCount()
{
  const auto count = this->daemonCount.Count(this->clock.Now());
  if (!count) {
    return;
  }
  if (!this->market->admission.KnowsDaemonCount()) {
    kLog.Event("daemons_counted", { { "count", *count } });
  }
  this->market->admission.SetDaemonCount(*count);
}

void
RelayDaemon::PollDaemonCount()
{
  this->UpdateDaemonCount();
  this->membership->Loop().After(kDaemonCountInterval, [this] { this->PollDaemonCount(); });
}

void
RelayDaemon::ApplyCallerLimits(HttpLimits aLimits)
{
  this->callerServer->SetLimits(aLimits);
  if (this->forwardServer != nullptr) {
    // The other daemon adds header lines
    HttpLimits forwarded = aLimits;
    forwarded.maximumHeaderBytes = 0;
    this->forwardServer->SetLimits(forwarded);
  }
  if (aLimits.maximumBodyBytes > this->connections->MaximumBodyBytes() ||
      aLimits.maximumHeaderBytes > kMaximumHead) {
    kLog.Event(LogLevel::Warning, "limits_exceed_memory",
               { { "body_limit", aLimits.maximumBodyBytes },
                 { "body_possible", this->connections->MaximumBodyBytes() },
                 { "head_limit", aLimits.maximumHeaderBytes },
                 { "head_possible", kMaximumHead } });
  }
}

void
RelayDaemon::SweepConnections()
{
  const Milliseconds pause = this->connections->Sweep();
  this->membership->Loop().After(pause, [this] { this->SweepConnections(); });
}

void
RelayDaemon::PublishFleet()
{
  auto snapshot = std::make_shared<FleetSnapshot>(*this->endpointReplicator->Snapshot());
  if (const RelayConfigurationPtr current = this->ConfigurationInForce()) {
    for (Endpoint& endpoint : snapshot->endpoints) {
      const auto service = std::find_if(
        current->services.begin(), current->services.end(),
        [&](const RelayServiceConfiguration& aEach) { return aEach.name == endpoint.name; });
      if (service != current->services.end()) {
        endpoint.movesStreams = service->movesStreams;
        endpoint.fetchSecondsPerToken = service->fetchSecondsPerToken;
      }
    }
  }
  this->market->notices.ApplyTo(*snapshot);
  this->PublishQueuePools(*snapshot);
  this->fleet.Publish(snapshot);
  this->versions.OnSnapshot(*snapshot);
  this->market->ApplyFleet(*snapshot);
  this->relay->OnFleet(snapshot);
}

void
RelayDaemon::PublishQueuePools(const FleetSnapshot& aFleet)
{
  const RelayConfigurationPtr current = this->ConfigurationInForce();
  if (current == nullptr || this->settings.requestQueueing == RequestQueueing::Off) {
    return;
  }
  const QueuePoolSettings poolSettings{ .slotsPerPool = this->settings.queuePoolSlots };
  const auto pools =
    std::make_shared<const QueuePools>(aFleet, poolSettings, [&](std::string_view aService) {
      return IsServiceQueued(this->settings.requestQueueing, *current, aService);
    });
  this->market->queuePools.Publish(pools);
  this->slotExchange->SetPools(pools);
}

void
RelayDaemon::Drain()
{
  if (this->draining.exchange(true)) {
    return;
  }
  const TimePoint begun = this->clock.Now();
  const DrainSchedule schedule = MakeDrainSchedule(this->settings.grace);
  kLog.Event("draining", { { "open", this->OpenExchanges() } });
  this->callerServer->CloseAfterResponses();
  this->leaderTasks->Drain();
  this->loadExchange->Drain();
  this->keyOwners->Drain();
  this->limitTokenExchange->OnKeyOwnersChanged();
  this->membership->Loop().Run([this] {
    this->streamOrigins->OnKeyOwnersChanged();
    this->slotExchange->OnOwnersChanged();
  });
  this->membership->Drain();

  this->SleepUntil(begun + schedule.rejectAfter);
  this->rejectsRequests = true;
  this->SleepUntil(begun + schedule.stopListeningAfter);
  this->callerServer->StopListening();
  if (this->forwardServer != nullptr) {
    this->forwardServer->StopListening();
  }
  this->WaitForResponses(begun + schedule.abandonAfter);
  if (this->OpenExchanges() > 0) {
    kLog.Event(LogLevel::Warning, "abandons", { { "open", this->OpenExchanges() } });
    this->relay->AbandonAll();
    this->FlushResponses();
  }
  kLog.Event("drained", { { "open", this->OpenExchanges() } });
}

void
RelayDaemon::SleepUntil(TimePoint aUntil) const
{
  std::this_thread::sleep_for(aUntil - this->clock.Now());
}

void
RelayDaemon::WaitForResponses(TimePoint aUntil)
{
  while (this->OpenExchanges() > 0 && this->clock.Now() < aUntil) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void
RelayDaemon::FlushResponses()
{
  int polls = 0;
  while (polls<kFlushPolls&& this->OpenExchanges()> 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
    ++polls;
  }
}

void
RelayDaemon::Stop()
{
  for (auto* server : { &this->callerServer, &this->readinessServer, &this->metricsServer,
                        &this->forwardServer }) {
    if (*server != nullptr) {
      (*server)->Stop();
    }
  }
  if (this->configurationLoader != nullptr) {
    this->configurationLoader->Stop();
  }
  this->kernel.StopAll();
}

} // namespace lagoonward
