#include "Lagoonward/Membership/PeerTable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace lagoonward {

namespace {

PeerInfo
ToInfo(const HostEntry& aHost)
{
  return { aHost.id, aHost.address, aHost.port, aHost.failureDomain, aHost.region };
}

} // namespace

PeerTable::PeerTable(const Clock& aClock, PeerInfo aSelf, std::uint64_t aIncarnation,
                     PeerTableSettings aSettings)
  : clock(aClock)
  , self(std::move(aSelf))
  , selfKey(this->self.Key())
  , incarnation(aIncarnation)
  , settings(aSettings)
  , lastAnyContact(aClock.Now())
  , lastTick(aClock.Now())
  , region(this->selfKey)
  , scheduler(aClock, this->selfKey, this->settings)
{
  this->changes.Add(this->selfKey);
}

void
PeerTable::SetOwnPort(std::uint16_t aPort)
{
  this->self.port = aPort;
}

void
PeerTable::ApplyHostList(std::span<const HostEntry> aHosts)
{
  for (auto& [key, entry] : this->entries) {
    entry.listed = false;
  }
  this->selfListed = false;
  for (const HostEntry& host : aHosts) {
    if (host.kind != HostEntry::Kind::Daemon) {
      continue;
    }
    if (host.id == this->self.id) {
      this->selfListed = true;
      continue;
    }
    const auto found = this->entries.find(ToPeerKey(host.id));
    PeerEntry* const entry = found != this->entries.end()
                               ? &found->second
                               : this->Insert(ToInfo(host), 0, PeerState::Alive);
    if (entry == nullptr) {
      continue;
    }
    entry->listed = true;
    // A seed daemon is known by its address only, until a later list provides its failure domain
    if (entry->peer.info.failureDomain.empty() && !host.failureDomain.empty()) {
      entry->peer.info = ToInfo(host);
      this->changed = true;
    }
    if (host.leaving && entry->peer.state == PeerState::Alive) {
      this->SetState(*entry, PeerState::Leaving, entry->peer.incarnation);
    }
  }
}

void
PeerTable::Apply(const PeerChange& aChange)
{
  if (aChange.key == this->selfKey) {
    this->RefuteIfNeeded(aChange);
    return;
  }
  const auto found = this->entries.find(aChange.key);
  if (found == this->entries.end()) {
    const bool isUsable =
      aChange.info && aChange.info->Key() == aChange.key && aChange.state != PeerState::Dead;
    if (isUsable && this->Insert(*aChange.info, aChange.incarnation, aChange.state) != nullptr) {
      this->changes.Add(aChange.key);
    }
    return;
  }
  PeerEntry& entry = found->second;
  const bool isNewer = aChange.incarnation > entry.peer.incarnation;
  const bool overrules =
    aChange.incarnation == entry.peer.incarnation && aChange.state > entry.peer.state;
  if (!isNewer && !overrules) {
    return;
  }
  // A daemon may restart with a different address
  if (isNewer && aChange.info && aChange.info->Key() == aChange.key &&
      DisseminationQueue::FitsInDatagram(*aChange.info)) {
    entry.peer.info = *aChange.info;
  }
  this->SetState(entry, aChange.state, aChange.incarnation);
  this->changes.Add(aChange.key);
}

void
PeerTable::OnContact(PeerKey aPeer, std::uint64_t aIncarnation, PeerState aState)
{
  const auto found = this->entries.find(aPeer);
  if (found == this->entries.end()) {
    return;
  }
  PeerEntry& entry = found->second;
  this->RecordContact(entry);
  const bool isNewer = aIncarnation > entry.peer.incarnation;
  const bool startsLeaving = aIncarnation == entry.peer.incarnation &&
                             aState == PeerState::Leaving && entry.peer.state == PeerState::Alive;
  if (isNewer || startsLeaving) {
    // The first contact with a listed daemon need not be disseminated: the others have the list
    const bool isFirst = entry.peer.incarnation == 0 && aState == PeerState::Alive;
    this->SetState(entry, aState, aIncarnation);
    if (!isFirst) {
      this->changes.Add(aPeer);
    }
  }
}

void
PeerTable::OnContact(PeerKey aPeer)
{
  const auto found = this->entries.find(aPeer);
  if (found != this->entries.end()) {
    this->RecordContact(found->second);
  }
}

void
PeerTable::OnIndirectAck(PeerKey aSubject)
{
  const auto found = this->entries.find(aSubject);
  if (found != this->entries.end()) {
    found->second.lastContact = this->clock.Now();
    found->second.indirectSent = false;
  }
}

std::vector<ScheduledProbe>
PeerTable::Tick()
{
  this->DetectLocalPause();
  for (auto& [key, entry] : this->entries) {
    this->AdvanceSuspicion(entry);
  }
  this->RemoveExpired();
  if (this->targetsStale) {
    this->targetsStale = false;
    this->region.Rebuild(this->entries);
    this->scheduler.ChooseTargets(this->entries, this->region);
  }
  this->UpdateReachability();
  // A remote target that does not respond is replaced; only its own region may declare it dead
  this->scheduler.RotateRemoteTargets(this->entries);
  return this->scheduler.DueProbes(this->entries, this->region, this->IsIsolated());
}

void
PeerTable::Leave()
{
  if (this->ownState != PeerState::Leaving) {
    this->ownState = PeerState::Leaving;
    ++this->incarnation;
    this->changes.Add(this->selfKey);
  }
}

std::vector<PeerChange>
PeerTable::TakeChanges(PeerKey aTo, std::size_t aBytes)
{
  std::vector<PeerChange> taken;
  std::size_t used = 0;
  // A suspect or dead receiver is sent its own state first, so that it can refute
  const auto receiver = this->entries.find(aTo);
  if (receiver != this->entries.end() && receiver->second.peer.state >= PeerState::Suspect) {
    taken.push_back(this->ToChange(receiver->second));
    used = DisseminationQueue::WireBytes(taken.front());
  }
  const auto read = [this](PeerKey aKey) -> std::optional<PeerChange> {
    if (aKey == this->selfKey) {
      return this->OwnChange();
    }
    const auto entry = this->entries.find(aKey);
    return entry == this->entries.end() ? std::nullopt
                                        : std::optional(this->ToChange(entry->second));
  };
  if (used <= aBytes) {
    this->changes.SelectForDatagram(aBytes - used, this->RetransmitLimit(), read, taken);
  }
  return taken;
}

std::vector<PeerChange>
PeerTable::AllChanges() const
{
  std::vector<PeerChange> all{ this->OwnChange() };
  all.front().info = this->self;
  for (const auto& [key, entry] : this->entries) {
    if (entry.IsPresent()) {
      all.push_back(this->ToChange(entry));
      all.back().info = entry.peer.info;
    }
  }
  return all;
}

PeerViewPtr
PeerTable::TakeView()
{
  if (!this->changed) {
    return nullptr;
  }
  this->changed = false;
  auto view = std::make_shared<PeerView>();
  view->generation = ++this->generation;
  view->unreachableRegions = this->unreachableRegions;
  for (const auto& [key, entry] : this->entries) {
    if (entry.IsPresent()) {
      view->peers.push_back(entry.peer);
    }
  }
  return view;
}

std::vector<PeerKey>
PeerTable::RemotePeers() const
{
  std::vector<PeerKey> keys;
  for (const auto& [key, entry] : this->entries) {
    if (entry.probed && !entry.regional) {
      keys.push_back(key);
    }
  }
  return keys;
}

const RegionGraph&
PeerTable::Region() const
{
  return this->region;
}

const Peer*
PeerTable::Find(PeerKey aKey) const
{
  const auto found = this->entries.find(aKey);
  return found == this->entries.end() ? nullptr : &found->second.peer;
}

bool
PeerTable::IsRegional(PeerKey aKey) const
{
  const auto found = this->entries.find(aKey);
  return found != this->entries.end() && found->second.regional;
}

std::uint64_t
PeerTable::Incarnation() const
{
  return this->incarnation;
}

PeerState
PeerTable::OwnState() const
{
  return this->ownState;
}

PeerEntry*
PeerTable::Insert(const PeerInfo& aInfo, std::uint64_t aIncarnation, PeerState aState)
{
  if (!DisseminationQueue::FitsInDatagram(aInfo)) {
    return nullptr;
  }
  PeerEntry& entry = this->entries[aInfo.Key()];
  entry.peer.info = aInfo;
  entry.peer.key = aInfo.Key();
  entry.regional = aInfo.region == this->self.region;
  entry.lastContact = this->clock.Now();
  if (!entry.regional) {
    this->lastRegionContact.emplace(aInfo.region, this->clock.Now());
  }
  this->SetState(entry, aState, aIncarnation);
  return &entry;
}

void
PeerTable::SetState(PeerEntry& aEntry, PeerState aState, std::uint64_t aIncarnation)
{
  aEntry.peer.state = aState;
  aEntry.peer.incarnation = aIncarnation;
  aEntry.stateSince = this->clock.Now();
  this->changed = true;
  this->targetsStale = true;
}

void
PeerTable::RefuteIfNeeded(const PeerChange& aChange)
{
  const bool isNewer = aChange.incarnation > this->incarnation;
  const bool overrules = aChange.incarnation == this->incarnation && aChange.state > this->ownState;
  if (isNewer || overrules) {
    this->incarnation = aChange.incarnation + 1;
    this->changes.Add(this->selfKey);
  }
}

void
PeerTable::RecordContact(PeerEntry& aEntry)
{
  const TimePoint now = this->clock.Now();
  if (this->IsIsolated()) {
    this->ResetSilenceTimers(now);
  }
  this->lastAnyContact = now;
  aEntry.lastContact = now;
  aEntry.indirectSent = false;
  if (!aEntry.regional) {
    this->lastRegionContact[aEntry.peer.info.region] = now;
  }
}

void
PeerTable::DetectLocalPause()
{
  const TimePoint now = this->clock.Now();
  if (now - this->lastTick > this->settings.localPauseThreshold) {
    this->ResetSilenceTimers(now);
    this->lastAnyContact = now;
  }
  this->lastTick = now;
}

void
PeerTable::ResetSilenceTimers(TimePoint aNow)
{
  // This daemon was paused or isolated, so missing contact is no evidence against the peers: the
  // silence timeouts start again, and suspects get at least half of the time to refute
  const TimePoint latest = aNow - this->settings.deadTimeout / 2;
  for (auto& [key, entry] : this->entries) {
    if (entry.peer.state == PeerState::Suspect) {
      entry.stateSince = std::max(entry.stateSince, latest);
    } else {
      entry.lastContact = aNow;
    }
  }
}

void
PeerTable::AdvanceSuspicion(PeerEntry& aEntry)
{
  const TimePoint now = this->clock.Now();
  if (!aEntry.regional || this->IsIsolated()) {
    return;
  }
  const bool isUnsuspected =
    aEntry.peer.state == PeerState::Alive || aEntry.peer.state == PeerState::Leaving;
  if (isUnsuspected && aEntry.probed && now - aEntry.lastContact > this->settings.suspectTimeout) {
    this->SetState(aEntry, PeerState::Suspect, aEntry.peer.incarnation);
    this->changes.Add(aEntry.peer.key);
  } else if (aEntry.peer.state == PeerState::Suspect &&
             now - aEntry.stateSince > this->settings.deadTimeout) {
    this->SetState(aEntry, PeerState::Dead, aEntry.peer.incarnation);
    this->changes.Add(aEntry.peer.key);
  }
}

void
PeerTable::RemoveExpired()
{
  const TimePoint now = this->clock.Now();
  const auto isExpired = [&](const auto& aItem) {
    const PeerEntry& entry = aItem.second;
    return !entry.listed && entry.peer.state == PeerState::Dead &&
           now - entry.stateSince > this->settings.deadRetention;
  };
  std::erase_if(this->entries, isExpired);

  // Unlisted daemons of other regions without contact are removed as well
  for (auto& [key, entry] : this->entries) {
    const bool isStale = !entry.listed && !entry.regional && entry.IsPresent() &&
                         now - entry.stateSince > this->settings.deadRetention &&
                         now - entry.lastContact > this->settings.deadRetention;
    if (isStale) {
      this->SetState(entry, PeerState::Dead, entry.peer.incarnation);
    }
  }
}

void
PeerTable::UpdateReachability()
{
  const TimePoint now = this->clock.Now();
  std::vector<std::string> withoutContact;
  for (const auto& [name, contact] : this->lastRegionContact) {
    if (now - contact > this->settings.regionTimeout) {
      withoutContact.push_back(name);
    }
  }
  if (withoutContact != this->unreachableRegions) {
    this->unreachableRegions = std::move(withoutContact);
    this->changed = true;
  }
}

bool
PeerTable::IsIsolated() const
{
  return this->clock.Now() - this->lastAnyContact > this->settings.isolationTimeout;
}

PeerChange
PeerTable::ToChange(const PeerEntry& aEntry) const
{
  PeerChange change{ aEntry.peer.key, aEntry.peer.state, aEntry.peer.incarnation, std::nullopt };
  // The other daemons take the info of listed daemons from the host list
  if (aEntry.peer.state <= PeerState::Leaving && !aEntry.listed) {
    change.info = aEntry.peer.info;
  }
  return change;
}

PeerChange
PeerTable::OwnChange() const
{
  return { this->selfKey, this->ownState, this->incarnation,
           this->selfListed ? std::nullopt : std::optional(this->self) };
}

std::size_t
PeerTable::RetransmitLimit() const
{
  const std::size_t bits = std::bit_width(this->region.Keys().size());
  return std::max<std::size_t>(1, this->settings.retransmitFactor * bits);
}

} // namespace lagoonward
