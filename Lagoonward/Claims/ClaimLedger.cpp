#include "Lagoonward/Claims/ClaimLedger.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Kept beyond the lifetime, for clocks that differ between daemons.
constexpr Milliseconds kClockMargin{ 60'000 };

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
  report.skipped = std::max<Offset>(0, aStart - this->next);
  this->next = std::max(this->next, aStart);

  // What we remember of lapsed records tells how long the log keeps them
  for (const Memory& memory : this->memories) {
    if (memory.offset >= aStart) {
      break;
    }
    if (memory.at + this->lifetime > aNow) {
      report.retentionTooShort = true;
      break;
    }
  }
  return report;
}

ClaimLedger::AppliedRecord
ClaimLedger::Apply(Offset aOffset, std::string_view aData)
{
  if (aOffset < this->next) {
    return {};
  }
  AppliedRecord applied;
  const auto record = ReadClaimRecord(aData, applied.faults);
  if (!record) {
    this->next = aOffset + 1;
    return applied;
  }
  this->Fold(aOffset, *record);
  applied.author = record->author;
  return applied;
}

void
ClaimLedger::Fold(Offset aOffset, const ClaimRecord& aRecord)
{
  if (aOffset < this->next) {
    return;
  }
  this->next = aOffset + 1;
  this->latest = std::max(this->latest, aRecord.at);
  for (const Claim& claim : aRecord.claims) {
    this->FoldClaim(aOffset, aRecord.at, claim);
  }
  for (const ClaimOutcome& outcome : aRecord.outcomes) {
    this->FoldOutcome(aOffset, aRecord.at, outcome);
  }
}

void
ClaimLedger::FoldClaim(Offset aOffset, WallTime aAt, const Claim& aClaim)
{
  const CompactId id = this->Compact(aClaim.id);
  if (this->voids.contains(id)) {
    return;
  }
  this->memories.push_back({ aAt, aOffset, aClaim.key, {}, false });
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end() && aAt - found->second.lastClaim <= this->lifetime) {
    found->second.lastClaim = std::max(found->second.lastClaim, aAt);
    return;
  }
  this->entries[aClaim.key] = { id, Ran::Unknown, aClaim.bodyHash, aOffset, aAt };
}

void
ClaimLedger::FoldOutcome(Offset aOffset, WallTime aAt, const ClaimOutcome& aOutcome)
{
  const CompactId id = this->Compact(aOutcome.id);
  const auto found = this->entries.find(aOutcome.key);
  const bool holds = found != this->entries.end() && found->second.id == id;
  if (aOutcome.ran == Ran::Yes) {
    if (holds) {
      found->second.ran = Ran::Yes;
    }
    return;
  }

  // Whoever says that it ran is believed before whoever says that it did not
  if (holds && found->second.ran == Ran::Yes) {
    return;
  }
  if (holds) {
    this->entries.erase(found);
  }
  this->voids[id] = aAt;
  this->memories.push_back({ aAt, aOffset, aOutcome.key, id, true });
}

std::optional<ClaimHolder>
ClaimLedger::Find(const ClaimKey& aKey, WallTime aNow) const
{
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end() || aNow - found->second.lastClaim > this->lifetime) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  return ClaimHolder{ { this->claimants[entry.id.claimant], entry.id.sequence },
                      entry.bodyHash,
                      entry.ran,
                      entry.offset };
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
  return this->next;
}

WallTime
ClaimLedger::LatestTime() const
{
  return this->latest;
}

void
ClaimLedger::Forget(WallTime aNow)
{
  const WallTime oldest = aNow - this->lifetime - kClockMargin;
  while (!this->memories.empty() && this->memories.front().at < oldest) {
    const Memory& memory = this->memories.front();
    if (memory.isVoid) {
      this->voids.erase(memory.voided);
    } else if (const auto found = this->entries.find(memory.key);
               found != this->entries.end() && found->second.lastClaim < oldest) {
      this->entries.erase(found);
    }
    this->memories.pop_front();
  }
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
