#include "UnitTests/Daemon/VirtualReplicationFleet.h"

#include <algorithm>

namespace lagoonward::replication_tests {

namespace {

/// Time of a message or of half a call of the source.
constexpr Milliseconds kLatency{ 1 };
/// Between two messages of one daemon.
constexpr std::chrono::microseconds kSendTime{ 200 };
/// Between two looks of a daemon whether its next read is due.
constexpr Milliseconds kFollowInterval{ 20 };
/// After a pause of this length a daemon reads the newest record of each endpoint, not all in between.
constexpr Milliseconds kFullReadAfter{ 5'000 };

Result<Endpoint>
DecodeState(const EndpointRecord& aRecord)
{
  Endpoint endpoint;
  endpoint.id = aRecord.id;
  endpoint.name = "s";
  endpoint.state = aRecord.text == "leaving" ? EndpointState::Leaving : EndpointState::Live;
  return endpoint;
}

} // namespace

VirtualDaemon::VirtualDaemon(VirtualFleet& aFleet, int aIndex, const std::string& aDomain)
  : fleet(aFleet)
{
  this->info = { "daemon-" + std::to_string(aIndex), "127.0.1." + std::to_string(aIndex), 1,
                 aDomain, "region" };
}

void
VirtualDaemon::OnRequest(RequestType aType, PeerTransport::RequestHandler aHandler)
{
  this->handlers[aType] = std::move(aHandler);
}

void
VirtualDaemon::Request(const PeerAddress& aTo, RequestType aType, std::string aBytes,
                       Milliseconds aTimeout, PeerTransport::ResponseHandler aHandler)
{
  const auto isDone = std::make_shared<bool>(false);
  const auto finish = [this, isDone, ownLife = this->life,
                       handler = std::move(aHandler)](Result<std::string> aResponse) {
    if (!std::exchange(*isDone, true) && ownLife == this->life && this->IsRunning()) {
      handler(std::move(aResponse));
    }
  };
  this->fleet.largestMessage = std::max(this->fleet.largestMessage, aBytes.size());
  const TimePoint now = this->fleet.clock.Now();
  this->freeToSendAt = std::max(this->freeToSendAt, now) + kSendTime;
  this->fleet.After(aTimeout, [finish] { finish(Error(ErrorKind::DeadlineExceeded, "timeout")); });
  this->fleet.After(this->freeToSendAt - now, [this, finish, to = aTo.key, aType,
                                               bytes = std::move(aBytes), ownLife = this->life] {
    if (ownLife != this->life || !this->IsRunning() ||
        this->fleet.broken.contains({ this->Key(), to })) {
      return;
    }
    this->fleet.After(kLatency, [this, finish, to, aType, bytes] {
      for (const auto& each : this->fleet.daemons) {
        if (each->Key() == to && each->IsRunning()) {
          each->Receive(this->Key(), aType, bytes, [this, finish](Result<std::string> aReply) {
            const std::size_t replyBytes = aReply ? aReply.value().size() : 0;
            this->fleet.largestMessage = std::max(this->fleet.largestMessage, replyBytes);
            this->fleet.After(kLatency, [finish, reply = std::move(aReply)] { finish(reply); });
          });
        }
      }
    });
  });
}

void
VirtualDaemon::Receive(PeerKey aSender, RequestType aType, const std::string& aBytes,
                       PeerTransport::Responder aRespond)
{
  const auto handler = this->handlers.find(aType);
  if (handler != this->handlers.end()) {
    handler->second(aSender, aBytes, std::move(aRespond));
  }
}

PeerViewPtr
VirtualDaemon::Peers() const
{
  return this->view;
}

std::optional<PeerAddress>
VirtualDaemon::AddressOf(PeerKey aPeer) const
{
  const Peer* const peer = this->view->Find(aPeer);
  return peer == nullptr ? std::nullopt
                         : std::optional(PeerAddress{ aPeer, peer->info.address, peer->info.port });
}

void
VirtualDaemon::Every(Milliseconds aInterval, std::function<void()> aTask)
{
  this->RepeatAfter(aInterval, std::move(aTask));
}

void
VirtualDaemon::RepeatAfter(Milliseconds aInterval, std::function<void()> aTask)
{
  this->fleet.After(aInterval,
                    [this, aInterval, task = std::move(aTask), ownLife = this->life]() mutable {
                      if (ownLife == this->life && this->IsRunning()) {
                        task();
                        this->RepeatAfter(aInterval, std::move(task));
                      }
                    });
}

void
VirtualDaemon::Start()
{
  ++this->life;
  this->handlers.clear();
  this->freeToSendAt = TimePoint::min();
  this->isReading = false;
  this->lastReadAt.reset();
  EndpointReplicatorHooks hooks;
  hooks.decode = &DecodeState;
  hooks.onChanged = [] {};
  this->replicator = std::make_unique<EndpointReplicator>(this->fleet.settings, *this, this->info,
                                                          hooks, this->fleet.clock);
  this->replicator->Start();
  this->RepeatAfter(kFollowInterval, [this] { this->Follow(); });
}

void
VirtualDaemon::Kill()
{
  ++this->life;
  this->replicator.reset();
}

std::optional<EndpointState>
VirtualDaemon::StateOf(std::string_view aId)
{
  const FleetSnapshotPtr snapshot = this->replicator->Snapshot();
  const Endpoint* const endpoint = snapshot->Find(aId);
  return endpoint == nullptr ? std::nullopt : std::optional(endpoint->state);
}

void
VirtualDaemon::Follow()
{
  const TimePoint now = this->fleet.clock.Now();
  const bool isDue =
    !this->lastReadAt || now - *this->lastReadAt >= this->replicator->ReadInterval();
  if (!isDue || this->isReading || !this->reachesSource) {
    return;
  }
  const bool isFull = !this->lastReadAt || now - *this->lastReadAt >= kFullReadAfter;
  this->lastReadAt = now;
  this->isReading = true;
  this->fleet.After(kLatency, [this, isFull, now, ownLife = this->life] {
    if (ownLife == this->life && this->IsRunning()) {
      this->Read(isFull, now);
    }
  });
}

void
VirtualDaemon::Read(bool aIsFull, TimePoint aStartedAt)
{
  // The source answers now, and the answer arrives later
  const LogPosition end(static_cast<Offset>(this->fleet.log.size()));
  std::vector<EndpointRecord> records;
  if (aIsFull) {
    for (const auto& [id, record] : this->fleet.newest) {
      records.push_back(record);
    }
  } else {
    records.assign(this->fleet.log.begin() + this->next.offset, this->fleet.log.end());
  }
  this->fleet.After(
    kLatency, [this, aIsFull, aStartedAt, end, records = std::move(records), ownLife = this->life] {
      if (ownLife != this->life || !this->IsRunning()) {
        return;
      }
      if (aIsFull) {
        this->replicator->OnFullRead(records, end);
      } else {
        for (const EndpointRecord& record : records) {
          this->replicator->OnRecord(record);
        }
      }
      this->next = end;
      this->isReading = false;
      this->replicator->OnReadCompleted(aStartedAt, end);
    });
}

VirtualFleet::VirtualFleet(int aDaemons, const std::vector<std::string>& aDomains)
{
  for (int index = 0; index < aDaemons; ++index) {
    const std::string& domain = aDomains[static_cast<std::size_t>(index) % aDomains.size()];
    this->daemons.push_back(std::make_unique<VirtualDaemon>(*this, index, domain));
  }
  for (const auto& daemon : this->daemons) {
    auto view = std::make_shared<PeerView>();
    for (const auto& other : this->daemons) {
      if (other != daemon) {
        view->peers.push_back({ other->info, other->Key(), PeerState::Alive, 1 });
      }
    }
    std::sort(view->peers.begin(), view->peers.end(),
              [](const Peer& aLeft, const Peer& aRight) { return aLeft.key < aRight.key; });
    daemon->view = view;
    daemon->Start();
  }
}

void
VirtualFleet::After(std::chrono::nanoseconds aSpan, std::function<void()> aTask)
{
  this->events.emplace(this->clock.Now() + aSpan, std::move(aTask));
}

void
VirtualFleet::Run(Milliseconds aSpan)
{
  const TimePoint end = this->clock.Now() + aSpan;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->clock.Advance(event.key() - this->clock.Now());
    event.mapped()();
  }
  this->clock.Advance(end - this->clock.Now());
}

void
VirtualFleet::Write(const std::string& aId, const std::string& aText)
{
  const EndpointRecord record{ aId, aText, static_cast<Offset>(this->log.size()) };
  this->log.push_back(record);
  this->newest[aId] = record;
  if (aText == "leaving") {
    this->leftAt.try_emplace(aId, this->clock.Now());
  }
}

void
VirtualFleet::Remove(const std::string& aId)
{
  this->log.push_back({ aId, {}, static_cast<Offset>(this->log.size()), true });
  this->newest.erase(aId);
  this->leftAt.try_emplace(aId, this->clock.Now());
}

void
VirtualFleet::SetBroken(const VirtualDaemon& aFrom, const VirtualDaemon& aTo, bool aIsBroken)
{
  if (aIsBroken) {
    this->broken.emplace(aFrom.Key(), aTo.Key());
  } else {
    this->broken.erase({ aFrom.Key(), aTo.Key() });
  }
}

VirtualDaemon&
VirtualFleet::OfRank(int aRank)
{
  const auto found =
    std::find_if(this->daemons.begin(), this->daemons.end(), [aRank](const auto& aDaemon) {
      return aDaemon->IsRunning() && aDaemon->Replicator().Rank() == aRank;
    });
  return **found;
}

std::string
VirtualFleet::FindFalseAge()
{
  for (const auto& daemon : this->daemons) {
    if (!daemon->IsRunning()) {
      continue;
    }
    const Milliseconds age = daemon->Replicator().Age();
    const FleetSnapshotPtr snapshot = daemon->Replicator().Snapshot();
    for (const Endpoint& endpoint : snapshot->endpoints) {
      const auto left = this->leftAt.find(endpoint.id);
      if (left == this->leftAt.end() || endpoint.state != EndpointState::Live) {
        continue;
      }
      const auto past = std::chrono::floor<Milliseconds>(this->clock.Now() - left->second);
      if (past > age) {
        return daemon->info.id + " takes " + endpoint.id + " for live, which left " +
               std::to_string(past.count()) + " ms ago, by a snapshot of " +
               std::to_string(age.count()) + " ms";
      }
    }
  }
  return {};
}

std::size_t
VirtualFleet::CountLive(std::string_view aId)
{
  return static_cast<std::size_t>(
    std::count_if(this->daemons.begin(), this->daemons.end(), [aId](const auto& aDaemon) {
      return aDaemon->IsRunning() && aDaemon->StateOf(aId) == EndpointState::Live;
    }));
}

} // namespace lagoonward::replication_tests
