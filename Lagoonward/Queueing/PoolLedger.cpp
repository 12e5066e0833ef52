#include "Lagoonward/Queueing/PoolLedger.h"

#include <utility>

namespace lagoonward {

namespace {

void
Add(RequestQueueCounts& aSum, const RequestQueueCounts& aCounts)
{
  aSum.granted += aCounts.granted;
  aSum.queued += aCounts.queued;
  aSum.refused += aCounts.refused;
}

} // namespace

PoolLedger::PoolLedger(const PoolLedgerSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
PoolLedger::SetListener(std::function<void(std::uint64_t aPool, QueueEvent aEvent)> aListener)
{
  this->listener = std::move(aListener);
}

void
PoolLedger::SetPools(QueuePoolsPtr aPools)
{
  this->pools = std::move(aPools);
  this->EraseQueues([this](std::uint64_t aKey, const Entry& aEntry) {
    const QueuePool* pool = this->pools->Find(aKey);
    if (pool != nullptr) {
      aEntry.queue->SetEndpoints(pool->endpoints);
    }
    return pool == nullptr;
  });
}

void
PoolLedger::EraseQueues(const std::function<bool(std::uint64_t aKey, const Entry& aEntry)>& aWhich)
{
  std::erase_if(this->queues, [&](const auto& aEach) {
    if (!aWhich(aEach.first, aEach.second)) {
      return false;
    }
    aEach.second.queue->Close();
    Add(this->closedCounts, aEach.second.queue->Counts());
    return true;
  });
}

PoolLedger::Entry*
PoolLedger::FindOrCreate(std::uint64_t aPool)
{
  const TimePoint now = this->clock.Now();
  const auto found = this->queues.find(aPool);
  if (found != this->queues.end()) {
    found->second.usedAt = now;
    return &found->second;
  }
  const QueuePool* pool = this->pools->Find(aPool);
  if (pool == nullptr) {
    return nullptr;
  }
  if (this->queues.size() >= this->settings.maximumPools) {
    this->EraseQueues([&](std::uint64_t /*aKey*/, const Entry& aEntry) {
      return now - aEntry.usedAt > this->settings.idleTimeout && aEntry.queue->Waiting() == 0;
    });
  }
  if (this->queues.size() >= this->settings.maximumPools) {
    return nullptr;
  }
  Entry entry{ std::make_unique<RequestQueue>(this->settings.queue, this->clock), now };
  entry.queue->SetEndpoints(pool->endpoints);
  return &this->queues.emplace(aPool, std::move(entry)).first->second;
}

bool
PoolLedger::Handle(const SlotMessage& aMessage, bool aIsPrimary,
                   const RequestQueue::Responder& aRespond)
{
  Entry* entry = this->FindOrCreate(aMessage.pool);
  if (entry != nullptr && aMessage.action == SlotAction::Request) {
    this->DetectTakeover(aMessage.pool, *entry, aIsPrimary);
  }
  if (entry != nullptr) {
    entry->queue->Handle(aMessage, aRespond);
    this->DetectStanding(aMessage.pool, *entry);
  } else if (aMessage.action == SlotAction::Request) {
    aRespond({ SlotAnswer::NotOwner });
  }
  return entry != nullptr;
}

void
PoolLedger::DetectTakeover(std::uint64_t aPool, Entry& aEntry, bool aIsPrimary) const
{
  const TimePoint now = this->clock.Now();
  const bool hasPaused =
    !aEntry.requestedAt || now - *aEntry.requestedAt > this->settings.backupPause;
  if (aIsPrimary ? !aEntry.isPrimary : hasPaused) {
    aEntry.queue->OnTakenOver();
    this->listener(aPool, QueueEvent::TakenOver);
  }
  aEntry.isPrimary = aIsPrimary;
  aEntry.requestedAt = now;
}

void
PoolLedger::DetectStanding(std::uint64_t aPool, Entry& aEntry) const
{
  const bool wasStanding = std::exchange(aEntry.isStanding, aEntry.queue->IsStanding());
  if (aEntry.isStanding && !wasStanding) {
    this->listener(aPool, QueueEvent::Standing);
  }
}

void
PoolLedger::Update()
{
  for (auto& [key, entry] : this->queues) {
    entry.queue->Update();
    this->DetectStanding(key, entry);
  }
}

void
PoolLedger::OnStandstill()
{
  for (auto& [key, entry] : this->queues) {
    entry.queue->OnStandstill();
  }
}

void
PoolLedger::OnRunEnded(std::uint64_t aRun)
{
  for (auto& [key, entry] : this->queues) {
    entry.queue->OnRunEnded(aRun);
  }
}

void
PoolLedger::OnOwnersChanged(const std::function<bool(std::uint64_t aPool)>& aIsOwned)
{
  this->EraseQueues([&](std::uint64_t aKey, const Entry& /*aEntry*/) { return !aIsOwned(aKey); });
}

PoolLedgerState
PoolLedger::State() const
{
  PoolLedgerState state;
  state.counts = this->closedCounts;
  for (const auto& [key, entry] : this->queues) {
    ++state.pools;
    state.waiting += static_cast<int>(entry.queue->Waiting());
    state.takenSlots += entry.queue->Slots().Taken();
    state.slots += entry.queue->Slots().Slots();
    Add(state.counts, entry.queue->Counts());
  }
  return state;
}

} // namespace lagoonward
