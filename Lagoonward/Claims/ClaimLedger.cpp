#include "Lagoonward/Claims/ClaimLedger.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Entries are retained this much longer than the lifetime, because clocks differ between daemons.
constexpr Milliseconds kClockMargin{ 60'000 };

/// Pops entries from the front while they are older than aOldest and calls aOnRemoved for each.
template<typename Queue, typename OnRemoved>
void
PopWhileOlder(Queue& aQueue, WallTime aOldest, OnRemoved aOnRemoved)
{
  while (!aQueue.empty() && aQueue.front().at < aOldest) {
    aOnRemoved(aQueue.front());
    aQueue.pop_front();
  }
}

} // namespace

std::size_t
ClaimLedger::CompactIdHash::operator()(const CompactId& aId) const
{
  return CombineHashes(aId.claimant, aId.sequence);
}

ClaimLedger::ClaimLedger(Milliseconds aLifetime)
  : lifetime(aLifetime)
{
}

ClaimLedger::StartReport
ClaimLedger::ObserveStart(Offset aStart, WallTime aNow)
{
  StartReport report;
  report.skipped = std::max<Offset>(0, aStart - this->nextOffset);
  this->nextOffset = std::max(this->nextOffset, aStart);

  // The timestamps of records that the log has removed show how long it retains them
  for (const RetainedRecord& retained : this->retainedRecords) {
    if (retained.offset >= aStart) {
      break;
    }
    if (retained.at + this->lifetime > aNow) {
      report.retentionTooShort = true;
      break;
    }
  }
  return report;
}

ClaimLedger::AppliedRecord
ClaimLedger::Apply(Offset aOffset, std::string_view aData)
{
  if (aOffset < this->nextOffset) {
    return {};
  }
  AppliedRecord applied;
  const auto record = ReadClaimRecord(aData, applied.faults);
  if (!record) {
    this->nextOffset = aOffset + 1;
    return applied;
  }
  this->Fold(aOffset, *record);
  applied.author = record->author;
  return applied;
}

void
ClaimLedger::Fold(Offset aOffset, const ClaimRecord& aRecord)
{
  if (aOffset < this->nextOffset) {
    return;
  }
  this->nextOffset = aOffset + 1;
  this->latestTime = std::max(this->latestTime, aRecord.at);
  this->retainedRecords.push_back({ aRecord.at, aOffset });
  for (const Claim& claim : aRecord.claims) {
    this->FoldClaim(aOffset, aRecord.at, claim);
  }
  for (const ClaimOutcome& outcome : aRecord.outcomes) {
    this->FoldOutcome(aRecord.at, outcome);
  }
}

void
ClaimLedger::FoldClaim(Offset aOffset, WallTime aAt, const Claim& aClaim)
{
  const CompactId id = this->Compact(aClaim.id);
  if (this->voids.contains(id)) {
    return;
  }
  this->keyExpiryQueue.push_back({ aAt, aClaim.key });
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end() && aAt - found->second.lastClaim <= this->lifetime) {
    found->second.lastClaim = std::max(found->second.lastClaim, aAt);
    return;
  }
  this->entries[aClaim.key] = { id.sequence, aClaim.bodyHash, aOffset,
                                aAt,         id.claimant,     Ran::Unknown };
}

void
ClaimLedger::FoldOutcome(WallTime aAt, const ClaimOutcome& aOutcome)
{
  const CompactId id = this->Compact(aOutcome.id);
  const auto found = this->entries.find(aOutcome.key);
  const bool holds = found != this->entries.end() && found->second.Id() == id;
  if (aOutcome.ran == Ran::Yes) {
    if (holds) {
      found->second.ran = Ran::Yes;
    }
    return;
  }

  // An outcome "yes" takes precedence over an outcome "no"
  if (holds && found->second.ran == Ran::Yes) {
    return;
  }
  if (holds) {
    this->entries.erase(found);
  }
  this->voids[id] = aAt;
  this->voidExpiryQueue.push_back({ aAt, id });
}

std::optional<ClaimHolder>
ClaimLedger::Find(const ClaimKey& aKey, WallTime aNow) const
{
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end() || aNow - found->second.lastClaim > this->lifetime) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  return ClaimHolder{
    { this->claimants[entry.claimant], entry.sequence }, entry.bodyHash, entry.ran, entry.offset
  };
}

bool
ClaimLedger::IsVoid(const RecordId& aId) const
{
  const auto claimant = this->claimantIndices.find(aId.incarnation);
  return claimant != this->claimantIndices.end() &&
         this->voids.contains({ claimant->second, aId.sequence });
}

Offset
ClaimLedger::NextOffset() const
{
  return this->nextOffset;
}

WallTime
ClaimLedger::LatestTime() const
{
  return this->latestTime;
}

void
ClaimLedger::RemoveExpired(WallTime aNow)
{
  const WallTime oldest = aNow - this->lifetime - kClockMargin;
  PopWhileOlder(this->retainedRecords, oldest, [](const RetainedRecord&) {});
  PopWhileOlder(this->voidExpiryQueue, oldest,
                [this](const ExpiryEntry<CompactId>& aEntry) { this->voids.erase(aEntry.item); });

  // A key that was claimed again later has a later queue entry, too
  PopWhileOlder(this->keyExpiryQueue, oldest, [&](const ExpiryEntry<ClaimKey>& aEntry) {
    const auto found = this->entries.find(aEntry.item);
    if (found != this->entries.end() && found->second.lastClaim < oldest) {
      this->entries.erase(found);
    }
  });
}

std::size_t
ClaimLedger::Size() const
{
  return this->entries.size();
}

ClaimLedger::CompactId
ClaimLedger::Compact(const RecordId& aId)
{
  const auto [place, isNew] = this->claimantIndices.try_emplace(
    aId.incarnation, static_cast<ClaimantIndex>(this->claimants.size()));
  if (isNew) {
    this->claimants.push_back(aId.incarnation);
  }
  return { place->second, aId.sequence };
}

} // namespace lagoonward
