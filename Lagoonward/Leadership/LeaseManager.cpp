#include "Lagoonward/Leadership/LeaseManager.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Maximum number of appends whose send time is stored. Older ones could only result in a lease that has expired.
constexpr std::size_t kMaxTrackedAppends = 64;

/// Whether orders of that kind go to endpoints, which are the only receivers that can check fencing numbers.
bool
IsEndpointOrder(OrderKind aKind)
{
  return aKind == OrderKind::Load || aKind == OrderKind::Unload || aKind == OrderKind::Role;
}

} // namespace

LeaseManager::LeaseManager(const LeaseSettings& aSettings, const Clock& aClock, std::string aHolder,
                           std::string aIncarnation)
  : settings(aSettings)
  , clock(aClock)
  , holder(std::move(aHolder))
  , incarnation(std::move(aIncarnation))
{
}

void
LeaseManager::SetRank(int aRank)
{
  this->rank = std::max(0, aRank);
}

void
LeaseManager::BeginEpoch(std::int64_t aEpoch)
{
  this->epoch = aEpoch;
  this->earliestAcquisition =
    this->clock.BootNow() + this->settings.duration + this->settings.handover;
}

bool
LeaseManager::IsOwn(const LeaseRecord& aRecord) const
{
  return aRecord.writer.incarnation == this->incarnation;
}

void
LeaseManager::ObservePage(const LogPage& aPage)
{
  this->ledger.ObserveStart(aPage.start);
  for (const LogRecord& record : aPage.records) {
    this->ledger.Apply(record.offset, record.data);
  }

  // Update the observed lease and the time since which it is known
  const LeaseInForce* current = this->ledger.InForce();
  const Offset offset = current != nullptr ? current->offset : kNoOffset;
  const bool certain = this->ledger.IsCertain();
  const Offset observed = certain ? offset : this->ledger.NextOffset();
  if (!this->observedAt || observed != this->observedOffset || certain != this->observedCertain) {
    this->observedOffset = observed;
    this->observedCertain = certain;
    this->observedAt = this->clock.BootNow();
  }

  // A lease of this run starts before its append was sent
  this->leaseEnd.reset();
  if (current == nullptr || !this->IsOwn(current->record)) {
    return;
  }
  const auto sent = this->sentAt.find(current->record.writer.sequence);
  if (sent != this->sentAt.end() && current->record.duration > Milliseconds::zero()) {
    this->leaseEnd = sent->second + current->record.duration;
  }
}

bool
LeaseManager::MayAcquire() const
{
  const TimePoint now = this->clock.BootNow();
  if (!this->observedAt || this->rank >= this->settings.candidates ||
      now < this->earliestAcquisition) {
    return false;
  }
  const Milliseconds rankWait = this->rank * this->settings.rankDelay;
  const LeaseInForce* current = this->ledger.InForce();
  if (!this->ledger.IsCertain()) {
    // The unknown holder must have written nothing for the duration of a lease
    const Milliseconds lease =
      std::max(this->settings.duration, this->ledger.LongestPendingLease());
    return now >= *this->observedAt + lease + this->settings.handover + rankWait;
  }
  if (current == nullptr) {
    return now >= *this->observedAt + rankWait;
  }
  if (this->IsOwn(current->record)) {
    return true;
  }
  const Milliseconds lease = current->record.duration;
  return now >= *this->observedAt + lease + this->settings.handover + rankWait;
}

std::optional<std::string>
LeaseManager::NextAppend()
{
  const TimePoint now = this->clock.BootNow();
  const LeaseInForce* current = this->ledger.InForce();
  const bool own = current != nullptr && this->IsOwn(current->record);
  if (this->lastAppend && now < *this->lastAppend + this->settings.retryInterval) {
    return std::nullopt;
  }
  if (this->resigning) {
    const bool leads = own && current->record.duration > Milliseconds::zero();
    return leads ? std::optional(this->MakeRecord(Milliseconds::zero())) : std::nullopt;
  }

  // A holder renews before its lease expires; its last append may still be in flight
  if (own && this->leaseEnd) {
    const TimePoint renewAt = *this->leaseEnd - this->settings.duration + this->settings.renewAfter;
    if (now < renewAt) {
      return std::nullopt;
    }
  }
  return this->MayAcquire() ? std::optional(this->MakeRecord(this->settings.duration))
                            : std::nullopt;
}

std::string
LeaseManager::MakeRecord(Milliseconds aDuration)
{
  const LeaseInForce* current = this->ledger.InForce();
  LeaseRecord record;
  record.epoch = this->epoch;
  record.holder = this->holder;
  record.duration = aDuration;
  record.writer = RecordId{ this->incarnation, ++this->sequence };
  if (!this->ledger.IsCertain()) {
    record.vacantBefore = this->ledger.NextOffset();
  } else if (current != nullptr) {
    record.base = current->offset;
    record.tenure = this->IsOwn(current->record) ? current->fencing : kNoOffset;
  }

  const TimePoint now = this->clock.BootNow();
  this->lastAppend = now;
  this->sentAt[this->sequence] = now;
  while (this->sentAt.size() > kMaxTrackedAppends) {
    this->sentAt.erase(this->sentAt.begin());
  }
  return WriteLeaseRecord(record);
}

void
LeaseManager::Resign()
{
  this->resigning = true;
}

bool
LeaseManager::Holds() const
{
  return !this->resigning && this->leaseEnd && this->clock.BootNow() < *this->leaseEnd;
}

Result<OrderGrant>
LeaseManager::Authorize(OrderKind aKind, bool aChecksFencing) const
{
  const LeaseInForce* current = this->ledger.InForce();
  const bool isLatestHolder = current != nullptr && this->IsOwn(current->record) && this->leaseEnd;
  if (!isLatestHolder || this->resigning) {
    return Error(ErrorKind::NotLeader,
                 "This daemon does not hold the lease of this market and region.");
  }
  if (this->Holds()) {
    return OrderGrant{ current->fencing, *this->leaseEnd };
  }
  if (aChecksFencing && IsEndpointOrder(aKind)) {
    return OrderGrant{ current->fencing, this->clock.BootNow() + this->settings.handover };
  }
  return Error(ErrorKind::NotLeader, "The lease of this daemon has expired.");
}

std::string_view
LeaseManager::Leader() const
{
  const LeaseInForce* current = this->ledger.InForce();
  const bool leads = current != nullptr && current->record.duration > Milliseconds::zero();
  return leads ? std::string_view(current->record.holder) : std::string_view();
}

Offset
LeaseManager::NextOffset() const
{
  return this->ledger.NextOffset();
}

} // namespace lagoonward
