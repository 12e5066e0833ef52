#include "Lagoonward/Membership/MembershipService.h"

#include "Lagoonward/Membership/FrameCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Room that is left for membership changes in a datagram that carries loads.
constexpr std::size_t kChangeRoomBesideLoads = 280;

/// Bytes of a datagram's fields that news does not use: header, tag, nonce, subject, digest.
constexpr std::size_t kFixedBytes = kDatagramOverhead + 29;

/// How long an asker of an indirect probe is remembered.
constexpr Milliseconds kIndirectMemory{ 2000 };

/// Room for membership changes behind a datagram's other news.
std::size_t
RoomForChanges(const Datagram& aDatagram, std::size_t aLimit)
{
  const std::size_t used = kFixedBytes + aDatagram.loads.size() * kLoadFactBytes +
                           aDatagram.states.size() * kStateFactBytes +
                           aDatagram.versions.size() * kVersionNoteBytes;
  return used >= aLimit ? 0 : aLimit - used;
}

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
             this->settings, [this] { this->ScheduleNews(); })
  , view(std::make_shared<PeerView>())
  , lastSpread(aClock.Now())
{
  this->exchange.Register();
  this->transport.OnDatagram(
    [this](PeerKey aSender, const Datagram& aDatagram) { this->TakeDatagram(aSender, aDatagram); });
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
    // The region learns it now; the rest with the heartbeats
    for (const PeerKey peer : this->peers.Region().Successors(this->settings.loads.newsFanout)) {
      this->SendTo(peer, Datagram());
    }
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
    this->peers.ApplyHostList(hosts);
    std::vector<HostEntry> endpoints;
    for (const HostEntry& host : hosts) {
      if (host.kind != HostEntry::Kind::Daemon && host.region == this->identity.self.region) {
        endpoints.push_back(host);
      }
    }
    this->loads.SetEndpoints(std::move(endpoints));
    this->endpointsChanged = true;
    this->ScheduleNews();
  });
}

void
MembershipService::ReportEndpoint(const std::string& aEndpointId, EndpointState aState,
                                  Milliseconds aGrace)
{
  this->loop.Post([this, aEndpointId, aState, aGrace] {
    if (this->loads.Report(aEndpointId, aState, aGrace)) {
      this->ScheduleNews();
    }
  });
}

void
MembershipService::PublishState(SharedState aState)
{
  this->loop.Post([this, state = std::move(aState)]() mutable {
    const VersionNote note{ state.Topic(), state.version };
    if (this->states.Publish(std::move(state))) {
      this->exchange.QueueNote(note);
      this->ScheduleNews();
    }
  });
}

void
MembershipService::OnState(SharedStates::Validator aHandler)
{
  this->states.SetValidator(std::move(aHandler));
}

void
MembershipService::OnEndpoints(std::function<void()> aHandler)
{
  this->endpointsHandler = std::move(aHandler);
}

void
MembershipService::OnPeers(std::function<void(const PeerViewPtr&)> aHandler)
{
  this->peersHandler = std::move(aHandler);
}

const LoadWatch&
MembershipService::Loads() const
{
  return this->loads;
}

SoftRecords&
MembershipService::HeldRecords()
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
MembershipService::FindRecord(std::uint64_t aKeyHash, PeerExchange::Found aHandler)
{
  this->loop.Post([this, aKeyHash, handler = std::move(aHandler)] {
    const auto holders =
      SoftRecords::Holders(aKeyHash, this->identity.self.region, this->Peers()->peers,
                           this->settings.softRecords.searchedHolders);
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
  this->exchange.JoinIfNeeded();
  this->StartPolls();
  if (this->clock.Now() - this->lastSpread >= this->settings.loads.spreadInterval) {
    this->lastSpread = this->clock.Now();
    this->SendLoads();
  }
  this->records.Sweep();
  if (std::exchange(this->endpointsChanged, false) && this->endpointsHandler) {
    this->endpointsHandler();
  }
}

void
MembershipService::SendProbes()
{
  for (const ProbeOrder& order : this->peers.Tick()) {
    Datagram datagram;
    datagram.kind = order.kind;
    datagram.nonce = order.nonce;
    datagram.subject = order.subject;
    this->SendTo(order.to, std::move(datagram));
  }
}

void
MembershipService::SendLoads()
{
  const auto receivers = this->peers.Region().Successors(this->settings.loads.loadFanout);
  if (receivers.empty()) {
    return;
  }
  const std::size_t room =
    this->settings.transport.maximumDatagram - kFixedBytes - kChangeRoomBesideLoads;
  Datagram datagram;
  datagram.loads = this->loads.TakeLoads(room, receivers.size());
  while (!datagram.loads.empty()) {
    for (const PeerKey peer : receivers) {
      this->SendTo(peer, datagram);
    }
    datagram.loads = this->loads.TakeLoads(room, receivers.size());
  }
}

void
MembershipService::ScheduleNews()
{
  // After what is at hand, so that a wave of notices travels in few datagrams
  if (!std::exchange(this->newsScheduled, true)) {
    this->loop.Post([this] { this->SendNews(); });
  }
}

void
MembershipService::SendNews()
{
  this->newsScheduled = false;
  const std::size_t room = this->settings.transport.maximumDatagram - kFixedBytes;
  std::vector<VersionNote> notes = this->exchange.TakeNotes();
  std::vector<StateFact> changes = this->loads.TakeStates(room / kStateFactBytes);
  const bool isNews = !changes.empty();
  auto regional = this->peers.Region().Successors(this->settings.loads.newsFanout);
  while (!notes.empty() || !changes.empty()) {
    Datagram datagram;
    datagram.states = std::move(changes);
    const std::size_t left = (room - datagram.states.size() * kStateFactBytes) / kVersionNoteBytes;
    const auto count = static_cast<std::ptrdiff_t>(std::min(notes.size(), left));
    datagram.versions.assign(notes.begin(), notes.begin() + count);
    notes.erase(notes.begin(), notes.begin() + count);
    for (const PeerKey peer : regional) {
      this->SendTo(peer, datagram);
    }
    // Endpoints are the region's own affair; versions concern all regions
    if (!datagram.versions.empty()) {
      datagram.states.clear();
      for (const PeerKey peer : this->peers.RemotePeers()) {
        this->SendTo(peer, datagram);
      }
    }
    changes = this->loads.TakeStates(room / kStateFactBytes);
  }
  // Loads may wait for the next tick, states may not
  if (isNews && this->endpointsHandler) {
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
        this->ScheduleNews();
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

  // A daemon that leaves or is suspected hands its endpoints over
  std::vector<PeerKey> watchers;
  for (const Peer& peer : next->peers) {
    if (peer.state == PeerState::Alive && peer.info.region == this->identity.self.region) {
      watchers.push_back(peer.key);
    }
  }
  if (this->peers.OwnState() == PeerState::Alive || watchers.empty()) {
    watchers.push_back(this->identity.self.Key());
  }
  this->loads.SetWatchers(watchers);
  if (this->peersHandler) {
    this->peersHandler(next);
  }
}

void
MembershipService::TakeDatagram(PeerKey aSender, const Datagram& aDatagram)
{
  this->TakeNews(aSender, aDatagram);
  if (aDatagram.kind == DatagramKind::Spread) {
    this->peers.OnHeard(aSender);
    return;
  }
  this->peers.OnHeard(aSender, aDatagram.incarnation, aDatagram.state);
  this->exchange.CompareDigest(aSender, aDatagram.digest);
  switch (aDatagram.kind) {
    case DatagramKind::Ping:
    case DatagramKind::IndirectPing:
      this->Answer(aSender, aDatagram);
      break;
    case DatagramKind::Ack:
      this->PassOnAck(aSender);
      break;
    case DatagramKind::IndirectAck:
      this->peers.OnIndirectAck(aDatagram.subject);
      break;
    case DatagramKind::Spread:
      break;
  }
}

void
MembershipService::TakeNews(PeerKey aSender, const Datagram& aDatagram)
{
  for (const PeerChange& change : aDatagram.peers) {
    this->peers.Apply(change);
  }
  for (const StateFact& fact : aDatagram.states) {
    this->loads.Merge(fact);
  }
  for (const LoadFact& fact : aDatagram.loads) {
    this->endpointsChanged |= this->loads.Merge(fact);
    this->exchange.FetchProfile(aSender, fact.profile);
  }
  for (const VersionNote& note : aDatagram.versions) {
    this->exchange.TakeNote(aSender, note);
  }
  if (!aDatagram.states.empty()) {
    this->ScheduleNews();
  }
}

void
MembershipService::Answer(PeerKey aSender, const Datagram& aDatagram)
{
  Datagram answer;
  answer.nonce = aDatagram.nonce;
  if (aDatagram.kind == DatagramKind::Ping) {
    answer.kind = DatagramKind::Ack;
    this->SendTo(aSender, std::move(answer));
    return;
  }
  // Probe the subject; its Ack is passed on
  if (this->peers.Find(aDatagram.subject) == nullptr) {
    return;
  }
  auto& askers = this->indirect[aDatagram.subject];
  std::erase_if(askers, [this](const IndirectProbe& aProbe) {
    return this->clock.Now() - aProbe.since > kIndirectMemory;
  });
  askers.push_back({ aSender, aDatagram.nonce, this->clock.Now() });
  answer.kind = DatagramKind::Ping;
  this->SendTo(aDatagram.subject, std::move(answer));
}

void
MembershipService::PassOnAck(PeerKey aSender)
{
  auto node = this->indirect.extract(aSender);
  if (node.empty()) {
    return;
  }
  for (const IndirectProbe& probe : node.mapped()) {
    if (this->clock.Now() - probe.since <= kIndirectMemory) {
      Datagram answer;
      answer.kind = DatagramKind::IndirectAck;
      answer.nonce = probe.nonce;
      answer.subject = aSender;
      this->SendTo(probe.asker, std::move(answer));
    }
  }
}

void
MembershipService::SendTo(PeerKey aPeer, Datagram aDatagram)
{
  const Peer* const peer = this->peers.Find(aPeer);
  if (peer == nullptr) {
    return;
  }
  if (aDatagram.kind != DatagramKind::Spread) {
    aDatagram.incarnation = this->peers.Incarnation();
    aDatagram.state = this->peers.OwnState();
    aDatagram.digest = this->exchange.Digest();
  }
  const std::size_t room = RoomForChanges(aDatagram, this->settings.transport.maximumDatagram);
  aDatagram.peers = this->peers.TakeChanges(aPeer, room);
  this->transport.Send({ aPeer, peer->info.address, peer->info.port }, aDatagram);
}

} // namespace lagoonward
