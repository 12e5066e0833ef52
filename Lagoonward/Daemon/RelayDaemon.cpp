#include "Lagoonward/Daemon/RelayDaemon.h"

#include "Lagoonward/Daemon/PeerKeys.h"
#include "Lagoonward/Daemon/RelayTuning.h"

#include <sodium.h>

#include <algorithm>
#include <thread>

namespace lagoonward {

namespace {

const Log kLog("daemon");

constexpr std::string_view kRelayMarket = "relay";
constexpr std::string_view kConfigurationState = "relay/configuration";

/// A balancer that asks once a second takes a daemon out after two misses; a little more covers the way.
constexpr Milliseconds kBalancerNotice{ 2500 };

/// When a caller turned away by a leaving daemon should try again, elsewhere.
constexpr Milliseconds kElsewhere{ 50 };

/// Left between the last answer and the end by force, for the answers to reach their callers.
constexpr Milliseconds kEndMargin{ 900 };
/// A configuration that others have told of and that has not come from them after this part of the time in which it must
/// be in force is read at the source: one of a thousand routes has 250 KB, 0.2 s of a small host's link, and passes
/// through several hosts on its way.
constexpr int kConfigurationPatienceParts = 4;

/// So long after its start a daemon believes the list of daemons, which keeps those that are gone; then the failure
/// detector has found out who lives.
constexpr Milliseconds kListBelieved{ 4000 };

constexpr Milliseconds kDrainPoll{ 20 };

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// The largest header block and what the library needs beside it.
constexpr std::size_t kConnectionMemory = 48U << 10U;

} // namespace

RelayDaemon::RelayDaemon(RelayDaemonSettings aSettings, const Clock& aClock)
  : settings(std::move(aSettings))
  , clock(aClock)
  , markets(MarketSettingsOf(this->settings), aClock, HashBytes(this->settings.peer.address))
  , market(this->markets.FindOrAdd(std::string(kRelayMarket)))
  , reporter(aClock)
  , usage(this->settings.usageWindow, aClock)
  , incarnation(
      fmt::format("{}@{}", this->settings.peer.address, ToUnixMilliseconds(aClock.WallNow())))
  , startedAt(aClock.Now())
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
    return Error(ErrorKind::Internal, "libsodium cannot be initialized.");
  }
  this->ports = std::move(aPorts);
  if (auto built = this->BuildMembership(); !built) {
    return built;
  }
  this->relay = &this->kernel.Add(
    std::make_unique<RelayService>(RelaySettings{}, this->ports.endpoints, *this->market,
                                   this->fleet, this->reporter, this->clock));
  this->relay->SetLender(*this->loans);
  this->relay->SetPermits(*this->permits);
  this->BuildDuties();
  this->BuildServers();
  if (auto started = this->kernel.StartAll(); !started) {
    return started;
  }
  for (HttpServer* server : { this->callers.get(), this->readiness.get(), this->metrics.get() }) {
    if (server == nullptr) {
      continue;
    }
    if (auto started = server->Start(); !started) {
      return started;
    }
  }
  this->membership->Loop().Run([this] {
    this->load->Start();
    this->ApplyDaemons();
    this->endpoints->Start();
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
  // Endpoints tell of themselves in the platform's store, so nobody polls them
  const auto poll = [this](const HostEntry&, const MembershipService::PollDone& aDone) {
    EndpointLoad nothing;
    nothing.asOf = this->clock.WallNow();
    aDone(std::move(nothing));
  };
  this->membership = &this->kernel.Add(std::make_unique<MembershipService>(
    this->clock, std::move(identity), std::move(keys.value()), MembershipSettings{}, poll));
  this->membership->OnState([this](const SharedState& aState) {
    return aState.name == kConfigurationState && this->TakeConfiguration(aState.bytes, true);
  });
  this->membership->OnPeers([this](const PeerViewPtr& aView) {
    this->market->SetLiveDaemons(static_cast<int>(aView->peers.size()) + 1);
    this->CountDaemons();
    this->keepers->OnPeers(*aView);
    this->loans->OnKeepers();
    this->crashes->OnKeepers();
  });
  LoadExchangeFacts facts;
  facts.self = self;
  facts.run = HashBytes(this->incarnation);
  facts.usage = [this] { return this->usage.Read(); };
  facts.leader = [this] { return this->duties->OwnTenure(); };
  facts.market = this->market.get();
  this->load = std::make_unique<LoadExchange>(LoadExchangeSettings{}, std::move(facts),
                                              *this->membership, this->clock);
  this->keepers = std::make_unique<KeeperDirectory>(self, this->clock);
  this->loans = std::make_unique<LimitLoans>(
    KeeperQuerySettings{}, *this->keepers, *this->membership, this->market->admission, this->clock);
  this->crashes = std::make_unique<CrashExchange>(
    CrashExchangeSettings{}, *this->keepers, *this->membership, this->market->poison, this->clock);
  this->permits =
    std::make_unique<PermitExchange>(KeeperQuerySettings{}, *this->keepers, *this->membership,
                                     this->market->endpointLimits, this->clock);
  EndpointNewsHooks hooks;
  hooks.decode = this->ports.decodeEndpoint;
  hooks.changed = [this] { this->PublishFleet(); };
  hooks.configuration = [this] { return this->ConfigurationVersion(); };
  this->endpoints =
    std::make_unique<EndpointNews>(EndpointNewsSettingsFor(this->settings.leavingNotice),
                                   *this->membership, self, std::move(hooks), this->clock);
  this->reporter.SetEndpointsAge([this] { return this->endpoints->Age(); });
  return boost::outcome_v2::success();
}

void
RelayDaemon::BuildDuties()
{
  DutyFacts facts;
  facts.self = this->settings.peer.address;
  facts.region = this->settings.region;
  facts.incarnation = this->incarnation;
  facts.inForce = [this] { return this->InForce(); };
  facts.fleet = &this->fleet;
  facts.router = &this->market->router;
  facts.load = this->load.get();
  this->duties = &this->kernel.Add(
    std::make_unique<DutyService>(DutySettingsOf(this->settings), std::move(facts),
                                  this->ports.duties, this->usage, this->clock));
  this->reporter.OnBeganDo([this](const RelayCall& aCall) {
    if (!aCall.account.empty()) {
      this->usage.OnBegan(aCall.account);
    }
  });
  this->reporter.OnSentDo([this](const RelayCall& aCall, const EngineWork& aWork) {
    this->load->OnSent(aCall.service, aWork);
  });
}

void
RelayDaemon::BuildServers()
{
  HttpServerSettings front;
  front.address = this->settings.listen.address;
  front.port = this->settings.listen.port;
  front.connectionMemoryBytes = kConnectionMemory;
  this->callers = std::make_unique<HttpServer>(
    front, [this](HttpRequest aRequest, const HttpExchangePtr& aExchange) {
      this->HandleCall(std::move(aRequest), aExchange);
    });

  HttpServerSettings ready;
  ready.address = this->settings.ready.address;
  ready.port = this->settings.ready.port;
  this->readiness = std::make_unique<HttpServer>(
    ready, [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
      aExchange->Respond(this->IsReady() ? kOk : kUnavailable, {}, {});
    });

  if (this->settings.metrics.port != 0) {
    HttpServerSettings page;
    page.address = this->settings.metrics.address;
    page.port = this->settings.metrics.port;
    this->metrics = std::make_unique<HttpServer>(
      page, [this](const HttpRequest&, const HttpExchangePtr& aExchange) {
        aExchange->Respond(kOk, { { "Content-Type", "text/plain; version=0.0.4" } },
                           this->reporter.MetricsText(this->State()));
      });
  }
}

void
RelayDaemon::HandleCall(HttpRequest aRequest, const HttpExchangePtr& aExchange)
{
  auto caller = std::make_unique<ExchangeCaller>(aExchange, this->ports.callers.writeError);
  if (this->refusing) {
    // What is taken now could be cut off by the end of the grace period
    caller->Refuse(
      Error(ErrorKind::Draining, "This daemon is leaving.").WithRetryAfter(kElsewhere));
    return;
  }
  auto call = this->ports.callers.read(std::move(aRequest));
  if (!call) {
    kLog.Event("refused", { { "kind", GetErrorRule(call.error().kind).name },
                            { "reason", call.error().message } });
    caller->Refuse(call.error());
    return;
  }
  this->relay->Submit(std::move(call.value()), std::move(caller));
}

RelayConfigurationPtr
RelayDaemon::InForce() const
{
  return std::atomic_load(&this->inForce);
}

RelayState
RelayDaemon::State() const
{
  RelayState state;
  const RelayConfigurationPtr current = this->InForce();
  state.configurationVersion = current == nullptr ? 0 : current->routes->Version();
  // Services that have lost their last endpoint count zero
  if (current != nullptr) {
    for (const RelayServiceFacts& service : current->services) {
      state.endpoints[service.name] = {};
    }
  }
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    EndpointTally& tally = state.endpoints[endpoint.name];
    ++(endpoint.state == EndpointState::Live ? tally.live : tally.leaving);
  }
  state.daemons = this->LiveDaemons();
  state.openRequests = this->callers->OpenExchanges();
  state.leads = this->duties->Leads();
  state.readsEndpoints = this->endpoints->IsReader();
  state.refusedRecords = this->endpoints->Refused();
  state.endpointsAge = this->endpoints->Age();
  state.poisonedRequests = this->market->poison.Poisoned();
  state.limitedEndpoints = static_cast<int>(this->market->endpointLimits.Limited().size());
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
  return !this->draining && this->InForce() != nullptr && this->knowsEndpoints;
}

void
RelayDaemon::OnConfiguration(const std::string& aText)
{
  this->membership->Loop().Run(
    [this, &aText] { static_cast<void>(this->TakeConfiguration(aText, false)); });
}

bool
RelayDaemon::TakeConfiguration(const std::string& aText, bool aFromPeer)
{
  // Read by this daemon and told by others, it comes more than once; to decode a large one stalls a small host
  if (aText == this->textInForce) {
    return false;
  }
  auto decoded = this->ports.decodeConfiguration(aText);
  if (!decoded) {
    kLog.Event(LogLevel::Warning, "configuration_refused",
               { { "reason", decoded.error().message }, { "from_peer", aFromPeer } });
    return false;
  }
  const auto next = std::make_shared<const RelayConfiguration>(std::move(decoded.value()));
  const std::int64_t version = next->routes->Version();
  const RelayConfigurationPtr current = this->InForce();
  if (current != nullptr && version <= current->routes->Version()) {
    return false;
  }
  // Accounts first: a request under the new routes needs its account
  auto configuration = std::make_shared<Configuration>();
  configuration->market = kRelayMarket;
  configuration->offset = version;
  configuration->manifest = next->manifest;
  this->market->ApplyConfiguration(configuration);
  std::atomic_store(&this->inForce, next);
  this->textInForce = aText;
  this->PublishFleet();
  kLog.Event("configuration", { { "version", version },
                                { "from_peer", aFromPeer },
                                { "before", current ? current->routes->Version() : -1 } });
  for (const ManifestClient& client : next->manifest.clients) {
    kLog.Event("limit", { { "configuration", version },
                          { "account", client.name },
                          { "tokens_per_second", client.tokensPerSecond },
                          { "burst", client.burstTokens } });
  }
  if (!aFromPeer) {
    this->membership->PublishState({ std::string(kConfigurationState), version, aText });
  }
  return true;
}

void
RelayDaemon::OnEndpointRecord(EndpointRecord aRecord)
{
  this->membership->Loop().Post(
    [this, record = std::move(aRecord)] { this->endpoints->OnRecord(record); });
}

void
RelayDaemon::OnEndpointRecords(std::vector<EndpointRecord> aRecords, std::int64_t aEnd)
{
  this->membership->Loop().Post([this, records = std::move(aRecords), aEnd] {
    this->endpoints->OnWhole(records, aEnd);
    // That there is none yet is a picture, too
    if (!this->knowsEndpoints.exchange(true)) {
      this->PublishFleet();
    }
  });
}

void
RelayDaemon::OnEndpointsRead(TimePoint aAsOf, std::int64_t aEnd)
{
  this->membership->Loop().Post([this, aAsOf, aEnd] { this->endpoints->OnRead(aAsOf, aEnd); });
}

void
RelayDaemon::OnEndpointSource(bool aAnswers)
{
  this->membership->Loop().Post([this, aAnswers] { this->endpoints->OnSource(aAnswers); });
}

std::int64_t
RelayDaemon::ConfigurationVersion() const
{
  const RelayConfigurationPtr current = this->InForce();
  return current == nullptr ? -1 : current->routes->Version();
}

bool
RelayDaemon::KnowsDaemons() const
{
  const PeerViewPtr view = this->membership->Peers();
  return !view->peers.empty() &&
         std::none_of(view->peers.begin(), view->peers.end(),
                      [](const Peer& aPeer) { return aPeer.info.failureDomain.empty(); });
}

bool
RelayDaemon::ReadsForAll() const
{
  return this->endpoints->IsReader();
}

bool
RelayDaemon::IsToldOfConfigurations()
{
  if (this->endpoints->WatchesSource() || this->InForce() == nullptr) {
    return false;
  }
  const TimePoint now = this->clock.Now();
  if (this->endpoints->ToldConfiguration() <= this->ConfigurationVersion()) {
    this->upToDateAt = now;
  }
  return now - this->upToDateAt <= this->settings.configurationNotice / kConfigurationPatienceParts;
}

Milliseconds
RelayDaemon::EndpointPace() const
{
  return this->endpoints->Pace();
}

void
RelayDaemon::OnDaemons(std::vector<HostEntry> aDaemons)
{
  this->membership->Loop().Post([this, daemons = std::move(aDaemons)] {
    this->listed = daemons;
    this->ApplyDaemons();
  });
}

void
RelayDaemon::OnSettings(const RelayDaemonSettings& aSettings)
{
  this->membership->Loop().Post([this, seeds = aSettings.seeds] {
    kLog.Event("reloaded", { { "seeds", seeds.size() } });
    this->seeds = seeds;
    this->ApplyDaemons();
  });
}

void
RelayDaemon::ApplyDaemons()
{
  std::vector<HostEntry> all = this->listed;
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
  this->CountDaemons();
}

void
RelayDaemon::CountDaemons()
{
  const int live = this->LiveDaemons();
  const bool isYoung = this->clock.Now() < this->startedAt + kListBelieved;
  const int listedCount = isYoung ? static_cast<int>(this->listed.size()) : 0;
  if (live > 1 || !this->listed.empty()) {
    this->market->admission.SetDaemons(std::max(live, listedCount));
  }
}

void
RelayDaemon::PublishFleet()
{
  auto snapshot = std::make_shared<FleetSnapshot>(*this->endpoints->Snapshot());
  if (const RelayConfigurationPtr current = this->InForce()) {
    for (Endpoint& endpoint : snapshot->endpoints) {
      const auto service =
        std::find_if(current->services.begin(), current->services.end(),
                     [&](const RelayServiceFacts& aEach) { return aEach.name == endpoint.name; });
      if (service != current->services.end()) {
        endpoint.movesStreams = service->movesStreams;
        endpoint.fetchSecondsPerToken = service->fetchSecondsPerToken;
      }
    }
  }
  this->fleet.Publish(snapshot);
  this->market->ApplyFleet(*snapshot);
  this->relay->OnFleet(snapshot);
}

void
RelayDaemon::Drain()
{
  if (this->draining.exchange(true)) {
    return;
  }
  const TimePoint begun = this->clock.Now();
  kLog.Event("draining", { { "open", this->callers->OpenExchanges() } });
  this->callers->CloseAfterAnswers();
  this->duties->Drain();
  this->load->Drain();
  this->keepers->Drain();
  this->loans->OnKeepers();
  this->membership->Drain();

  // The balancer still sends callers for a moment
  std::this_thread::sleep_for(kBalancerNotice);
  this->refusing = true;
  this->callers->StopListening();
  this->WaitForAnswers(begun + this->settings.grace - kEndMargin);
  if (this->callers->OpenExchanges() > 0) {
    kLog.Event(LogLevel::Warning, "abandons", { { "open", this->callers->OpenExchanges() } });
    this->relay->AbandonAll();
    this->WaitForAnswers(begun + this->settings.grace - kEndMargin / 2);
  }
  kLog.Event("drained", { { "open", this->callers->OpenExchanges() } });
}

void
RelayDaemon::WaitForAnswers(TimePoint aUntil)
{
  while (this->callers->OpenExchanges() > 0 && this->clock.Now() < aUntil) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

void
RelayDaemon::Stop()
{
  for (auto* server : { &this->callers, &this->readiness, &this->metrics }) {
    if (*server != nullptr) {
      (*server)->Stop();
    }
  }
  this->kernel.StopAll();
}

} // namespace lagoonward
