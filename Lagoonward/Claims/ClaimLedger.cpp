#include "Lagoonward/Claims/ClaimLedger.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Kept beyond the lifetime, for clocks that differ between daemons.
constexpr Milliseconds kClockMargin{ 60'000 };

/// Takes memories off the front while they are older than aOldest, handing each to aForget.
template<typename Memories, typename Forget>
void
PopWhileOlder(Memories& aMemories, WallTime aOldest, Forget aForget)
{
  while (!aMemories.empty() && aMemories.front().at < aOldest) {
    aForget(aMemories.front());
    aMemories.pop_front();
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
  report.skipped = std::max<Offset>(0, aStart - this->next);
  this->next = std::max(this->next, aStart);

  // What we remember of lapsed records tells how long the log keeps them
  for (const RecordMemory& memory : this->recordMemories) {
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
  this->recordMemories.push_back({ aRecord.at, aOffset });
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
  this->keyMemories.push_back({ aAt, aClaim.key });
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

  // Whoever says that it ran is believed before whoever says that it did not
  if (holds && found->second.ran == Ran::Yes) {
    return;
  }
  if (holds) {
    this->entries.erase(found);
  }
  this->voids[id] = aAt;
  this->voidMemories.push_back({ aAt, id });
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
  PopWhileOlder(this->recordMemories, oldest, [](const RecordMemory&) {});
  PopWhileOlder(this->voidMemories, oldest,
                [this](const Memory<CompactId>& aMemory) { this->voids.erase(aMemory.item); });

  // A key that was claimed again since has a later memory, too
  PopWhileOlder(this->keyMemories, oldest, [&](const Memory<ClaimKey>& aMemory) {
    const auto found = this->entries.find(aMemory.item);
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
