#include "Lagoonward/Leadership/LeaseLedger.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Maximum number of records kept while the record in force is unknown. With regular renewals two records suffice to
/// resolve a gap.
constexpr std::size_t kMaxPending = 1'024;

/// The fencing number of a valid record.
Offset
FencingOf(Offset aOffset, const LeaseRecord& aRecord)
{
  return aRecord.tenure == kNoOffset ? aOffset : aRecord.tenure;
}

} // namespace

void
LeaseLedger::ObserveStart(Offset aStart)
{
  if (aStart <= this->next) {
    return;
  }
  this->certain = false;
  this->gapEnd = aStart;
  this->next = aStart;
  this->inForce.reset();
  this->pending.clear();
}

void
LeaseLedger::Apply(Offset aOffset, std::string_view aData)
{
  if (aOffset < this->next) {
    return;
  }
  this->next = aOffset + 1;
  JsonFaults faults;
  const auto record = ReadLeaseRecord(aData, faults);
  if (!record) {
    return;
  }
  if (this->certain) {
    this->Fold(aOffset, *record);
  } else {
    this->FoldAfterGap(aOffset, *record);
  }
}

void
LeaseLedger::Fold(Offset aOffset, const LeaseRecord& aRecord)
{
  // Its writer did not know of a restore, and its base may mean another record
  if (this->inForce && aRecord.epoch < this->inForce->record.epoch) {
    return;
  }
  const Offset current = this->inForce ? this->inForce->offset : kNoOffset;
  const bool follows =
    aRecord.vacantBefore == kNoOffset ? aRecord.base == current : current < aRecord.vacantBefore;
  if (!follows) {
    return;
  }

  // A renewal may keep only the fencing number of the tenure of its own run
  if (aRecord.tenure != kNoOffset) {
    const bool own = this->inForce && this->inForce->fencing == aRecord.tenure &&
                     this->inForce->record.writer.incarnation == aRecord.writer.incarnation;
    if (!own) {
      return;
    }
  }
  this->inForce = LeaseInForce{ aOffset, FencingOf(aOffset, aRecord), aRecord };
}

void
LeaseLedger::FoldAfterGap(Offset aOffset, const LeaseRecord& aRecord)
{
  this->pending.push_back({ aOffset, aRecord });
  if (this->pending.size() > kMaxPending) {
    this->pending.pop_front();
  }

  // The unknown record in force precedes `vacant_before`, and all records from that offset on have been read
  const bool vacant = aRecord.vacantBefore >= this->gapEnd && aRecord.tenure == kNoOffset;
  const bool first =
    std::none_of(this->pending.begin(), this->pending.end() - 1,
                 [&](const Pending& aPending) { return aPending.offset >= aRecord.vacantBefore; });
  if (vacant && first) {
    this->ResolveGap(this->pending.size() - 1);
    return;
  }

  // A base was in force when its successor was written
  const auto base =
    std::find_if(this->pending.begin(), this->pending.end(), [&](const Pending& aPending) {
      return aRecord.vacantBefore == kNoOffset && aPending.offset == aRecord.base;
    });
  if (base != this->pending.end()) {
    this->ResolveGap(static_cast<std::size_t>(base - this->pending.begin()));
  }
}

void
LeaseLedger::ResolveGap(std::size_t aIndex)
{
  const Pending& first = this->pending[aIndex];
  this->inForce = LeaseInForce{ first.offset, FencingOf(first.offset, first.record), first.record };
  this->certain = true;
  for (std::size_t index = aIndex + 1; index < this->pending.size(); ++index) {
    this->Fold(this->pending[index].offset, this->pending[index].record);
  }
  this->pending.clear();
}

const LeaseInForce*
LeaseLedger::InForce() const
{
  return this->inForce ? &*this->inForce : nullptr;
}

bool
LeaseLedger::IsCertain() const
{
  return this->certain;
}

Milliseconds
LeaseLedger::LongestPendingLease() const
{
  Milliseconds longest{ 0 };
  for (const Pending& record : this->pending) {
    longest = std::max(longest, record.record.duration);
  }
  return longest;
}

Offset
LeaseLedger::NextOffset() const
{
  return this->next;
}

} // namespace lagoonward
