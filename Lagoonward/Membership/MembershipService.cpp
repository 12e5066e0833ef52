#include "Lagoonward/Membership/MembershipService.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Retention of the requester of an indirect probe.
constexpr Milliseconds kIndirectProbeRetention{ 2000 };

} // namespace

MembershipService::MembershipService(const Clock& aClock, MembershipIdentity aIdentity,
                                     KeyRing aKeys, MembershipSettings aSettings,
                                     PollFunction aPoll)
  : clock(aClock)
  , identity(std::move(aIdentity))
  , settings(aSettings)
  , poll(std::move(aPoll))
  , log("membership")
  , loop(aClock)
  , transport(this->loop, aClock, this->identity.self.Key(), this->identity.session,
              std::move(aKeys), aSettings.transport)
  , peers(aClock, this->identity.self, this->identity.session, aSettings.peers)
  , loads(aClock, this->identity.self.Key(), aSettings.loads)
  , records(aClock, aSettings.softRecords)
  , exchange(aClock, { this->transport, this->peers, this->loads, this->states, this->records },
             this->settings, [this] { this->ScheduleUpdates(); })
  , disseminator({ this->transport, this->peers, this->loads, this->exchange }, this->settings)
  , hostList(aClock, this->identity.self.region, aSettings.hostList)
  , view(std::make_shared<PeerView>())
  , lastLoadSend(aClock.Now())
{
  this->exchange.Register();
  this->states.SetValidator(
    [this](const SharedState& aState) { return this->ApplySharedState(aState); });
  this->transport.OnDatagram([this](PeerKey aSender, const Datagram& aDatagram) {
    this->HandleDatagram(aSender, aDatagram);
  });
}

MembershipService::~MembershipService()
{
  this->Stop();
}

std::string_view
MembershipService::Name() const
{
  return kName;
}

Result<void>
MembershipService::Start()
{
  const PeerInfo& self = this->identity.self;
  auto listening = this->transport.Listen(self.address, self.port);
  if (!listening) {
    return listening;
  }
  this->peers.SetOwnPort(this->transport.Port());
  this->loop.Every(this->settings.tick, [this] { this->Tick(); });
  this->log.Info("daemon {} listens to its peers on {}:{}.", self.id, self.address,
                 this->transport.Port());
  return this->loop.Start();
}

void
MembershipService::Drain()
{
  this->loop.Run([this] {
    this->peers.Leave();
    // Daemons of the region receive it now, other regions with the next probes
    this->disseminator.SendOwnState();
  });
}

void
MembershipService::Stop()
{
  this->loop.Stop();
  this->transport.Close();
}

ControlLoop&
MembershipService::Loop()
{
  return this->loop;
}

PeerTransport&
MembershipService::Transport()
{
  return this->transport;
}

PeerViewPtr
MembershipService::Peers() const
{
  return std::atomic_load(&this->view);
}

std::optional<PeerAddress>
MembershipService::AddressOf(PeerKey aPeer) const
{
  const PeerViewPtr current = this->Peers();
  const Peer* const peer = current->Find(aPeer);
  if (peer == nullptr) {
    return std::nullopt;
  }
  return PeerAddress{ aPeer, peer->info.address, peer->info.port };
}

void
MembershipService::ApplyHostList(std::vector<HostEntry> aHosts)
{
  this->loop.Post([this, hosts = std::move(aHosts)] {
    this->ApplyHosts(hosts);
    // The list may name the readers of the region, so select them first: a daemon that has just started shares no list
    this->PublishPeers();
    const auto shared = this->readsHostList ? this->hostList.OnRead(hosts) : std::nullopt;
    if (shared) {
      if (this->states.Publish(*shared)) {
        this->Announce(*shared);
      }
    }
  });
}

bool
MembershipService::IsHostListReader() const
{
  return this->readsHostList;
}

void
MembershipService::ReportEndpoint(const std::string& aEndpointId, EndpointState aState,
                                  Milliseconds aGrace)
{
  this->loop.Post([this, aEndpointId, aState, aGrace] {
    if (this->loads.Report(aEndpointId, aState, aGrace)) {
      this->ScheduleUpdates();
    }
  });
}

void
MembershipService::PublishState(SharedState aState, Milliseconds aAnnounceAfter)
{
  this->loop.Post([this, state = std::move(aState), aAnnounceAfter] {
    if (!this->states.Publish(state)) {
      return;
    }
    if (aAnnounceAfter <= Milliseconds(0)) {
      this->Announce(state);
      return;
    }
    this->loop.After(aAnnounceAfter, [this, topic = state.Topic()] {
      // Announces the version that is the newest by then
      if (const SharedState* newest = this->states.Find(topic)) {
        this->Announce(*newest);
      }
    });
  });
}

void
MembershipService::OnState(SharedStates::Validator aHandler)
{
  this->stateHandler = std::move(aHandler);
}

void
MembershipService::OnEndpoints(std::function<void()> aHandler)
{
  this->endpointsHandler = std::move(aHandler);
}

void
MembershipService::OnPeers(std::function<void(const PeerViewPtr&)> aHandler)
{
  this->peersHandlers.push_back(std::move(aHandler));
}

const EndpointMonitor&
MembershipService::Loads() const
{
  return this->loads;
}

SoftRecords&
MembershipService::StoredRecords()
{
  return this->records;
}

void
MembershipService::PlaceRecord(SoftRecord aRecord)
{
  this->loop.Post([this, record = std::move(aRecord)] {
    const auto holder =
      SoftRecords::HolderFor(record.keyHash, this->identity.self, this->Peers()->peers);
    if (holder) {
      this->exchange.PlaceRecord(record, *holder);
    }
  });
}

void
MembershipService::FindRecord(std::uint64_t aKeyHash, PeerExchange::RecordHandler aHandler)
{
  this->loop.Post([this, aKeyHash, handler = std::move(aHandler)] {
    const auto holders =
      SoftRecords::PossibleHolders(aKeyHash, this->identity.self.region, this->Peers()->peers,
                                   this->settings.softRecords.maximumLookups);
    this->exchange.FindRecord(aKeyHash, holders, handler);
  });
}

const TransportCounters&
MembershipService::Counters() const
{
  return this->transport.Counters();
}

void
MembershipService::Tick()
{
  this->SendProbes();
  this->PublishPeers();
  this->exchange.OnTick();
  this->StartPolls();
  if (this->clock.Now() - this->lastLoadSend >= this->settings.loads.loadSendInterval) {
    this->lastLoadSend = this->clock.Now();
    this->disseminator.SendLoads();
  }
  this->records.Sweep();
  if (std::exchange(this->endpointsChanged, false) && this->endpointsHandler) {
    this->endpointsHandler();
  }
}

void
MembershipService::SendProbes()
{
  for (const ScheduledProbe& order : this->peers.Tick()) {
    Datagram datagram;
    datagram.kind = order.kind;
    datagram.nonce = order.nonce;
    datagram.subject = order.subject;
    this->disseminator.Send(order.to, std::move(datagram));
  }
}

void
MembershipService::ScheduleUpdates()
{
  // Runs after the work already queued, so that a burst of updates is sent in few datagrams
  if (!std::exchange(this->updatesScheduled, true)) {
    this->loop.Post([this] { this->SendQueuedUpdates(); });
  }
}

void
MembershipService::SendQueuedUpdates()
{
  this->updatesScheduled = false;
  // Handlers of changed loads are called on the next tick, those of states immediately
  if (this->disseminator.SendUpdates() && this->endpointsHandler) {
    this->endpointsHandler();
  }
}

void
MembershipService::StartPolls()
{
  for (const HostEntry& endpoint : this->loads.DuePolls()) {
    this->poll(endpoint, [this, handle = this->loop.Handle(),
                          id = endpoint.id](const Result<EndpointLoad>& aLoad) {
      handle->Post([this, id, aLoad] {
        this->loads.OnPolled(id, aLoad);
        this->endpointsChanged = true;
        this->ScheduleUpdates();
      });
    });
  }
}

void
MembershipService::PublishPeers()
{
  const PeerViewPtr next = this->peers.TakeView();
  if (!next) {
    return;
  }
  std::atomic_store(&this->view, next);

  // A daemon that is leaving or suspected does not poll; its endpoints are polled by others
  std::vector<PeerKey> pollers;
  for (const Peer& peer : next->peers) {
    if (peer.state == PeerState::Alive && peer.info.region == this->identity.self.region) {
      pollers.push_back(peer.key);
    }
  }
  if (this->peers.OwnState() == PeerState::Alive || pollers.empty()) {
    pollers.push_back(this->identity.self.Key());
  }
  this->loads.SetPollers(pollers);
  this->UpdateHostListReaderRole(*next);
  for (const auto& handler : this->peersHandlers) {
    handler(next);
  }
}

void
MembershipService::UpdateHostListReaderRole(const PeerView& aView)
{
  // The readers are the highest-ranked alive daemons of the region by rendezvous weight
  const std::uint64_t topic = HashBytes(HostListDistribution::kName);
  const auto ownWeight = RendezvousWeight(topic, this->identity.self.Key());
  const auto higherRanked =
    std::count_if(aView.peers.begin(), aView.peers.end(), [&](const Peer& aPeer) {
      return aPeer.state == PeerState::Alive && aPeer.info.region == this->identity.self.region &&
             RendezvousWeight(topic, aPeer.key) > ownWeight;
    });
  this->readsHostList = static_cast<std::size_t>(higherRanked) < this->settings.hostList.readers;
}

void
MembershipService::ApplyHosts(const std::vector<HostEntry>& aHosts)
{
  this->peers.ApplyHostList(aHosts);
  std::vector<HostEntry> endpoints;
  for (const HostEntry& host : aHosts) {
    if (host.kind != HostEntry::Kind::Daemon && host.region == this->identity.self.region) {
      endpoints.push_back(host);
    }
  }
  this->loads.SetEndpoints(std::move(endpoints));
  this->endpointsChanged = true;
  this->ScheduleUpdates();
}

bool
MembershipService::ApplySharedState(const SharedState& aState)
{
  if (aState.name != HostListDistribution::kName) {
    return !this->stateHandler || this->stateHandler(aState);
  }
  const auto hosts = this->hostList.ApplyShared(aState);
  if (hosts) {
    this->ApplyHosts(hosts.value());
  }
  return hosts.has_value();
}

void
MembershipService::Announce(const SharedState& aState)
{
  this->exchange.QueueAnnouncement(aState);
  this->ScheduleUpdates();
}

void
MembershipService::HandleDatagram(PeerKey aSender, const Datagram& aDatagram)
{
  this->ApplyUpdates(aSender, aDatagram);
  if (aDatagram.kind == DatagramKind::Gossip) {
    this->peers.OnContact(aSender);
    return;
  }
  this->peers.OnContact(aSender, aDatagram.incarnation, aDatagram.state);
  this->exchange.CompareDigest(aSender, aDatagram.digest);
  switch (aDatagram.kind) {
    case DatagramKind::Ping:
    case DatagramKind::IndirectPing:
      this->AnswerProbe(aSender, aDatagram);
      break;
    case DatagramKind::Ack:
      this->ForwardAck(aSender);
      break;
    case DatagramKind::IndirectAck:
      this->peers.OnIndirectAck(aDatagram.subject);
      break;
    case DatagramKind::Gossip:
      break;
  }
}

void
MembershipService::ApplyUpdates(PeerKey aSender, const Datagram& aDatagram)
{
  for (const PeerChange& change : aDatagram.peers) {
    this->peers.Apply(change);
  }
  for (const EndpointStateUpdate& fact : aDatagram.states) {
    this->loads.Merge(fact);
  }
  for (const EndpointLoadUpdate& fact : aDatagram.loads) {
    this->endpointsChanged |= this->loads.Merge(fact);
    this->exchange.FetchProfile(aSender, fact.profile);
  }
  for (const VersionAnnouncement& announcement : aDatagram.versions) {
    this->exchange.HandleAnnouncement(aSender, announcement);
  }
  if (!aDatagram.states.empty()) {
    this->ScheduleUpdates();
  }
}

void
MembershipService::AnswerProbe(PeerKey aSender, const Datagram& aDatagram)
{
  Datagram response;
  response.nonce = aDatagram.nonce;
  if (aDatagram.kind == DatagramKind::Ping) {
    response.kind = DatagramKind::Ack;
    this->disseminator.Send(aSender, std::move(response));
    return;
  }
  // Probe the subject; its Ack is forwarded to the requester
  if (this->peers.Find(aDatagram.subject) == nullptr) {
    return;
  }
  auto& requesters = this->indirectProbes[aDatagram.subject];
  std::erase_if(requesters, [this](const IndirectProbe& aProbe) {
    return this->clock.Now() - aProbe.requestedAt > kIndirectProbeRetention;
  });
  requesters.push_back({ aSender, aDatagram.nonce, this->clock.Now() });
  response.kind = DatagramKind::Ping;
  this->disseminator.Send(aDatagram.subject, std::move(response));
}

void
MembershipService::ForwardAck(PeerKey aSender)
{
  auto node = this->indirectProbes.extract(aSender);
  if (node.empty()) {
    return;
  }
  for (const IndirectProbe& probe : node.mapped()) {
    if (this->clock.Now() - probe.requestedAt <= kIndirectProbeRetention) {
      Datagram response;
      response.kind = DatagramKind::IndirectAck;
      response.nonce = probe.nonce;
      response.subject = aSender;
      this->disseminator.Send(probe.requester, std::move(response));
    }
  }
}

} // namespace lagoonward
