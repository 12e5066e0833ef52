#include "Lagoonward/Leadership/LeaseLedger.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Records held while nothing proves what is in force. A chain that works ends a gap with two.
constexpr std::size_t kMaxPending = 1'024;

/// The fencing number of a record that counts.
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
    this->FoldUncertain(aOffset, *record);
  }
}

void
LeaseLedger::Fold(Offset aOffset, const LeaseRecord& aRecord)
{
  const Offset current = this->inForce ? this->inForce->offset : kNoOffset;
  const bool follows =
    aRecord.vacantBefore == kNoOffset ? aRecord.base == current : current < aRecord.vacantBefore;
  if (!follows) {
    return;
  }

  // A renewal keeps the number of its own run's tenure, and only that
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
LeaseLedger::FoldUncertain(Offset aOffset, const LeaseRecord& aRecord)
{
  this->pending.push_back({ aOffset, aRecord });
  if (this->pending.size() > kMaxPending) {
    this->pending.pop_front();
  }

  // Whatever was in force stood before `vacant_before`, and all from there on has been read
  const bool vacant = aRecord.vacantBefore >= this->gapEnd && aRecord.tenure == kNoOffset;
  const bool first =
    std::none_of(this->pending.begin(), this->pending.end() - 1,
                 [&](const Pending& aPending) { return aPending.offset >= aRecord.vacantBefore; });
  if (vacant && first) {
    this->ResumeAt(this->pending.size() - 1);
    return;
  }

  // Its base was in force
  const auto base =
    std::find_if(this->pending.begin(), this->pending.end(), [&](const Pending& aPending) {
      return aRecord.vacantBefore == kNoOffset && aPending.offset == aRecord.base;
    });
  if (base != this->pending.end()) {
    this->ResumeAt(static_cast<std::size_t>(base - this->pending.begin()));
  }
}

void
LeaseLedger::ResumeAt(std::size_t aIndex)
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
LeaseLedger::LongestPending() const
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
