#include "Lagoonward/Daemon/Daemon.h"

#include "Lagoonward/Attempts/RunMetrics.h"
#include "Lagoonward/Daemon/PeerKeys.h"

#include <sodium.h>

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("daemon");

/// Part of the process's descriptors that callers' connections may take. The rest is for connections to endpoints and other
/// daemons, and for operators.
constexpr double kCallerDescriptorShare = 0.6;
constexpr unsigned kAdminConnections = 64;
/// Requests of operators have no body, but some clients send an empty object.
constexpr std::size_t kAdminBodyBytes = 1U << 10U;

/// Bodies of the largest size for which there is memory.
constexpr std::size_t kMinimumLargestBodies = 2;

/// Rank of a daemon for a key under rendezvous hashing: the number of daemons with a greater weight.
int
RankAmong(const std::vector<std::string>& aDaemons, std::string_view aOwn, std::string_view aKey)
{
  const std::uint64_t key = HashBytes(aKey);
  const std::uint64_t own = RendezvousWeight(key, HashBytes(aOwn));
  return static_cast<int>(
    std::count_if(aDaemons.begin(), aDaemons.end(), [&](const std::string& aDaemon) {
      return RendezvousWeight(key, HashBytes(aDaemon)) > own;
    }));
}

} // namespace

Daemon::Daemon(DaemonSettings aSettings, const Clock& aClock,
               std::function<void()> aOnDrainRequested)
  : settings(std::move(aSettings))
  , clock(aClock)
  , onDrainRequested(std::move(aOnDrainRequested))
  , seed(HashBytes(this->settings.hostId))
  , incarnation(fmt::format("{}@{}", this->settings.hostId, ToUnixMilliseconds(aClock.WallNow())))
  , markets(this->settings.market, aClock, this->seed)
  , poller({}, aClock)
  , log(this->settings.logUrl, {})
  , claimLog(this->settings.logUrl, {})
  , indexLog(this->settings.logUrl, {})
{
}

Daemon::~Daemon()
{
  this->Stop();
}

Result<void>
Daemon::Start()
{
  auto built = this->Build();
  if (!built) {
    return built;
  }
  auto started = this->kernel.StartAll();
  if (!started) {
    return started;
  }
  this->membership->Loop().Run([this] {
    this->demandExchange->Start();
    this->SweepConnections();
  });
  for (const std::string& market : this->settings.markets) {
    this->control->FollowMarket(market);
  }
  kLog.Info("Started: listening for callers at {}:{}, for operators at {}:{}.",
            this->settings.listen.address, this->kernel.Find<CallerApi>(CallerApi::kName)->Port(),
            this->settings.admin.address, this->admin->Port());
  return boost::outcome_v2::success();
}

void
Daemon::Drain()
{
  if (this->draining.exchange(true)) {
    return;
  }
  kLog.Info("Draining: unready from now on, {} requests in progress.", this->runs->ActiveRuns());
  this->keyOwners->Drain();
  this->membership->Drain();
  this->fleetManager->Resign();
  this->kernel.DrainAll();
  kLog.Info("Drain completed.");
}

void
Daemon::Stop()
{
  this->kernel.StopAll();
}

Result<void>
Daemon::Build()
{
  if (sodium_init() < 0) {
    return Error(ErrorKind::Internal,
                 "libsodium could not be initialized; the daemon does not start.");
  }
  auto keys = ParsePeerKeys(this->settings.peerKeys, this->settings.cluster);
  if (!keys) {
    return keys.error();
  }
  this->BuildMembership(std::move(keys.value()));
  this->BuildConfiguration();
  this->BuildRuns();
  this->BuildInterfaces();
  return boost::outcome_v2::success();
}

void
Daemon::BuildMembership(KeyRing aKeys)
{
  MembershipIdentity identity;
  identity.self.id = this->settings.hostId;
  identity.self.address = this->settings.peer.address;
  identity.self.port = this->settings.peer.port;
  identity.self.failureDomain = this->settings.failureDomain;
  identity.self.region = this->settings.region;
  identity.session = static_cast<std::uint64_t>(ToUnixMilliseconds(this->clock.WallNow()));
  const auto poll = [this](const HostEntry& aEndpoint, MembershipService::PollDone aDone) {
    // Plain services report no load; all that is known of them comes from the host list and from their responses
    if (aEndpoint.kind != HostEntry::Kind::Engine) {
      EndpointLoad load;
      load.asOf = this->clock.WallNow();
      aDone(std::move(load));
      return;
    }
    this->poller.Poll(aEndpoint, std::move(aDone));
  };
  this->keyOwners = std::make_unique<KeyOwnerDirectory>(identity.self, this->clock);
  this->membership = &this->kernel.Add(std::make_unique<MembershipService>(
    this->clock, std::move(identity), std::move(aKeys), MembershipSettings{}, poll));
  this->control = &this->kernel.Add(std::make_unique<ControlPlane>(
    this->clock, *this->membership, this->poller, this->markets, this->fleet,
    [this](const FleetSnapshotPtr& aFleet) { this->runs->OnFleet(aFleet); }));
}

void
Daemon::BuildConfiguration()
{
  ConfigurationFollowerHooks hooks;
  hooks.liveDaemons = [this] { return this->LiveDaemons(); };
  hooks.onChange = [this](const ConfigurationPtr& aConfiguration) {
    this->control->OnConfiguration(aConfiguration);
  };
  hooks.daemonId = this->settings.hostId;
  hooks.incarnation = this->incarnation;
  this->follower = &this->kernel.Add(
    std::make_unique<ConfigurationFollower>(ConfigurationFollowerSettings{}, std::move(hooks),
                                            std::vector<std::string>{}, this->log, this->clock));
  this->control->SetFollower(*this->follower);
  MarketIndexHooks indexHooks;
  indexHooks.onMarket = [this](const std::string& aMarket) {
    this->control->FollowMarket(aMarket);
  };
  indexHooks.refreshRank = [this](const std::string& aMarket) {
    return RankAmong(this->LiveDaemons(), this->settings.hostId, aMarket);
  };
  this->index = &this->kernel.Add(std::make_unique<MarketIndexReader>(
    MarketIndexSettings{}, std::move(indexHooks), this->indexLog, this->clock));
  this->BuildFleetManager();
  this->platform = &this->kernel.Add(std::make_unique<PlatformWatcher>(
    PlatformWatcherSettings{}, this->clock, this->settings.hostListUrl, this->settings.cloudUrl,
    this->MakePlatformFeed()));
}

void
Daemon::BuildFleetManager()
{
  FleetManagerIdentity identity;
  identity.daemonId = this->settings.hostId;
  identity.incarnation = this->incarnation;
  identity.region = this->settings.region;
  identity.logUrl = this->settings.logUrl;
  identity.cloudUrl = this->settings.cloudUrl;
  identity.weightStoreUrl = this->settings.weightStoreUrl;
  FleetManagerHooks hooks;
  hooks.configurations = [this] { return this->ConfigurationsInForce(); };
  hooks.rank = [this](const std::string& aKey) {
    return RankAmong(this->LiveDaemons(this->settings.region), this->settings.hostId, aKey);
  };
  hooks.fleet = [this] { return this->platform->HasHosts() ? this->fleet.Get() : nullptr; };
  this->fleetManager = &this->kernel.Add(std::make_unique<FleetManager>(
    FleetManagerSettings{}, std::move(identity), std::move(hooks), this->clock));
}

void
Daemon::BuildRuns()
{
  this->claimForwarder = std::make_unique<PeerClaimForwarder>(*this->membership);
  ClaimServiceHooks hooks;
  hooks.region = this->settings.region;
  hooks.daemonId = this->settings.hostId;
  hooks.incarnation = this->incarnation;
  hooks.liveDaemons = [this] { return this->LiveDaemons(this->settings.region); };
  hooks.forwarder = this->claimForwarder.get();
  auto& claims = this->kernel.Add(
    std::make_unique<ClaimService>(ClaimSettings{}, std::move(hooks), this->claimLog, this->clock));
  this->claimForwarder->Serve(claims);
  this->runs =
    &this->kernel.Add(std::make_unique<RunService>(this->settings.runs, this->clock, this->fleet));
  this->runs->SetClaims(claims);
  this->requestDirectory = std::make_unique<PeerRequestDirectory>(
    PeerRequestDirectorySettings{}, *this->membership, this->fleet, this->settings.hostId);
  this->requestDirectory->Serve(*this->runs);
  this->runs->SetDirectory(*this->requestDirectory);
  this->demandExchange = std::make_unique<DemandExchange>(
    DemandExchangeSettings{}, *this->membership, this->markets, this->runs->PoisonFilter(),
    this->settings.hostId, this->settings.region);
  this->crashExchange =
    std::make_unique<CrashExchange>(CrashExchangeSettings{}, *this->keyOwners, *this->membership,
                                    this->runs->PoisonFilter(), this->clock);
  this->membership->OnPeers([this](const PeerViewPtr& aView) {
    this->keyOwners->OnPeers(*aView);
    this->crashExchange->OnKeyOwnersChanged();
  });
}

void
Daemon::BuildInterfaces()
{
  ConnectionTableSettings tableSettings;
  tableSettings.maximumRequestMemory = std::max(
    tableSettings.maximumRequestMemory, this->settings.maximumBodyBytes * kMinimumLargestBodies);
  this->connections = std::make_shared<ConnectionTable>(tableSettings, this->clock);
  HttpServerSettings adminServer;
  adminServer.address = this->settings.admin.address;
  adminServer.port = this->settings.admin.port;
  adminServer.maximumConnections = kAdminConnections;
  adminServer.limits.maximumBodyBytes = kAdminBodyBytes;
  const StatusSources sources{ this->settings, this->clock, *this->follower,    *this->membership,
                               this->fleet,    *this->runs, *this->fleetManager };
  this->admin = &this->kernel.Add(std::make_unique<AdminApi>(
    adminServer, this->connections, *this->runs, [this] { return this->FindUnreadyReason(); },
    [this, sources] { return MakeStatusPage(sources, this->draining); }, this->onDrainRequested));
  this->admin->AddMetrics(std::make_shared<RunMetrics>(*this->runs));

  HttpServerSettings callerServer;
  callerServer.address = this->settings.listen.address;
  callerServer.port = this->settings.listen.port;
  callerServer.threads = this->settings.callerThreads;
  const double descriptors = static_cast<double>(ProcessDescriptorLimit()) * kCallerDescriptorShare;
  callerServer.maximumConnections =
    std::min(this->settings.maximumConnections, static_cast<unsigned>(descriptors));
  callerServer.limits.maximumBodyBytes = this->settings.maximumBodyBytes;
  this->kernel.Add(std::make_unique<CallerApi>(
    callerServer, this->connections, this->settings.calls, this->settings.drainNotice, this->clock,
    this->markets, *this->runs,
    [this](const std::string& aMarket) { this->control->FollowMarket(aMarket); }));
}

void
Daemon::SweepConnections()
{
  const Milliseconds pause = this->connections->Sweep();
  this->membership->Loop().After(pause, [this] { this->SweepConnections(); });
}

std::vector<ConfigurationPtr>
Daemon::ConfigurationsInForce() const
{
  std::vector<ConfigurationPtr> configurations;
  for (const MarketStatus& market : this->follower->Status()) {
    if (ConfigurationPtr configuration = this->follower->Current(market.market)) {
      configurations.push_back(std::move(configuration));
    }
  }
  return configurations;
}

std::vector<std::string>
Daemon::LiveDaemons(std::string_view aRegion) const
{
  std::vector<std::string> ids{ this->settings.hostId };
  for (const Peer& peer : this->membership->Peers()->peers) {
    if (aRegion.empty() || peer.info.region == aRegion) {
      ids.push_back(peer.info.id);
    }
  }
  return ids;
}

std::optional<Error>
Daemon::FindUnreadyReason() const
{
  if (this->draining) {
    return Error(ErrorKind::Draining, "The daemon is draining.");
  }
  if (!this->platform->HasHosts()) {
    return Error(ErrorKind::PlatformUnavailable, "The host list has not been read yet.");
  }
  // While the log is unreachable, peers may have sent the configurations in force
  if (!this->index->HasRead() && this->markets.ConfiguredMarkets().empty()) {
    return Error(
      ErrorKind::NoConfiguration,
      "The index of markets has not been read yet, and no peer has sent a configuration.");
  }
  for (const MarketStatus& market : this->follower->Status()) {
    const bool isEmpty = market.logReachable && market.certain;
    if (market.offset == kNoOffset && !isEmpty) {
      return Error(ErrorKind::NoConfiguration,
                   "The configuration of market " + market.market + " has not been received yet.");
    }
  }
  return std::nullopt;
}

PlatformCallbacks
Daemon::MakePlatformFeed()
{
  PlatformCallbacks feed;
  feed.onHosts = [this](std::vector<HostEntry> aHosts) {
    // This daemon's own entry may have another id if --host-id was not given
    std::erase_if(aHosts, [this](const HostEntry& aHost) {
      return aHost.kind == HostEntry::Kind::Daemon && aHost.id != this->settings.hostId &&
             aHost.address == this->settings.peer.address && aHost.port == this->settings.peer.port;
    });
    this->control->OnHosts(std::move(aHosts));
  };
  feed.onPrices = [this](std::vector<Price> aPrices) {
    this->control->OnPrices(std::move(aPrices));
  };
  feed.onNotices = [this](const std::vector<ReclaimNotice>& aNotices) {
    this->control->OnNotices(aNotices);
  };
  feed.readsHostList = [this] { return this->membership->IsHostListReader(); };
  return feed;
}

} // namespace lagoonward
