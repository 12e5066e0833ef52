#include "Lagoonward/Routing/PrefixIndex.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

constexpr Milliseconds kTick{ 100 };
constexpr std::size_t kDepthProbes = 8;

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , start(aClock.Now())
  , keys(std::max(aSettings.capacity / kWays, std::size_t{ 1 }) * kWays)
  , entries(keys.size())
{
}

PrefixIndex::Tick
PrefixIndex::CurrentTick() const
{
  return static_cast<Tick>((this->clock.Now() - this->start) / kTick) + 1;
}

void
PrefixIndex::OnStored(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  this->Record(aEndpointKey, aBlocks, true);
}

void
PrefixIndex::OnDispatched(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  this->Record(aEndpointKey, aBlocks, false);
}

void
PrefixIndex::OnEvicted(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  const auto tag = TagOf(aEndpointKey);
  for (const std::uint64_t block : aBlocks) {
    const Entry* found = this->FindEntry(block);
    if (found == nullptr) {
      continue;
    }
    const auto slot = static_cast<std::size_t>(found - this->entries.data());
    Entry& entry = this->entries[slot];
    bool hasHolder = false;
    for (Holder& holder : entry.holders) {
      holder = holder.tag == tag ? Holder{} : holder;
      hasHolder = hasHolder || holder.tag != 0;
    }
    if (!hasHolder) {
      this->keys[slot] = 0;
      entry = {};
    }
  }
}

void
PrefixIndex::RemoveExpired(TicksByTag& aTicks) const
{
  const Tick now = this->CurrentTick();
  std::erase_if(aTicks, [&](const auto& aEach) {
    return now > aEach.second && (now - aEach.second) * kTick > this->settings.maxAge;
  });
}

void
PrefixIndex::OnGap(std::uint64_t aEndpointKey)
{
  this->RemoveExpired(this->gapTicks);
  this->gapTicks[TagOf(aEndpointKey)] = this->CurrentTick();
}

void
PrefixIndex::OnReset(std::uint64_t aEndpointKey)
{
  this->RemoveExpired(this->resetTicks);
  // The entries are not removed but left to expire; a tick later than all of theirs invalidates them
  this->resetTicks[TagOf(aEndpointKey)] = this->CurrentTick() + 1;
  this->gapTicks.erase(TagOf(aEndpointKey));
}

void
PrefixIndex::Record(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks,
                    bool aConfirmed)
{
  const auto tag = TagOf(aEndpointKey);
  const Tick now = this->CurrentTick();
  const std::uint32_t stamp = now * 2 + (aConfirmed ? 1 : 0);
  for (const std::uint64_t block : aBlocks) {
    Entry& entry = this->FindOrReplace(block);
    entry.uses = static_cast<float>(this->DecayedUses(entry, now) + (aConfirmed ? 0 : 1));
    entry.updated = now;

    // The endpoint's own slot, else an unused one, else the one with the oldest update
    Holder* slot = entry.holders.data();
    for (Holder& holder : entry.holders) {
      if (holder.tag == tag) {
        slot = &holder;
        break;
      }
      if (holder.stamp < slot->stamp) {
        slot = &holder;
      }
    }
    *slot = { tag, stamp };
  }
}

std::size_t
PrefixIndex::FirstWayOf(std::uint64_t aBlock) const
{
  return aBlock % (this->keys.size() / kWays) * kWays;
}

PrefixIndex::Entry&
PrefixIndex::FindOrReplace(std::uint64_t aBlock)
{
  const std::size_t first = this->FirstWayOf(aBlock);
  std::size_t slot = first;
  for (std::size_t way = first; way < first + kWays; ++way) {
    if (this->keys[way] == aBlock) {
      return this->entries[way];
    }
    if (this->entries[way].updated < this->entries[slot].updated) {
      slot = way;
    }
  }
  this->keys[slot] = aBlock;
  this->entries[slot] = {};
  return this->entries[slot];
}

const PrefixIndex::Entry*
PrefixIndex::FindEntry(std::uint64_t aBlock) const
{
  const std::size_t first = this->FirstWayOf(aBlock);
  for (std::size_t way = first; way < first + kWays; ++way) {
    if (this->keys[way] == aBlock) {
      return &this->entries[way];
    }
  }
  return nullptr;
}

double
PrefixIndex::ConfidenceIn(const Holder& aHolder, Tick aNow) const
{
  const Tick tick = aHolder.stamp / 2;
  if (aHolder.tag == 0 || (aNow - tick) * kTick > this->settings.maxAge) {
    return 0;
  }
  const auto reset = this->resetTicks.find(aHolder.tag);
  if (reset != this->resetTicks.end() && tick < reset->second) {
    return 0;
  }
  double confidence = (aHolder.stamp & 1U) != 0 ? 1 : this->settings.dispatchedConfidence;
  const auto gap = this->gapTicks.find(aHolder.tag);
  if (gap != this->gapTicks.end() && tick < gap->second) {
    confidence *= this->settings.gapConfidence;
  }
  return confidence;
}

double
PrefixIndex::DecayedUses(const Entry& aEntry, Tick aNow) const
{
  const double age =
    static_cast<double>(aNow - aEntry.updated) * kTick / this->settings.usesHalfLife;
  return aEntry.uses * std::exp2(-age);
}

std::size_t
PrefixIndex::KnownDepth(std::span<const std::uint64_t> aBlocks) const
{
  std::size_t known = 0;
  std::size_t unknown = aBlocks.size() + 1;
  while (known + 1 < unknown) {
    const std::size_t middle = (known + unknown) / 2;
    (this->FindEntry(aBlocks[middle - 1]) != nullptr ? known : unknown) = middle;
  }
  return known;
}

PrefixMatch
PrefixIndex::Find(std::span<const std::uint64_t> aBlocks, std::span<PrefixHolder> aHolders) const
{
  const Tick now = this->CurrentTick();
  const std::size_t known = this->KnownDepth(aBlocks);

  // Holders at the known depth, then at each eighth less
  PrefixMatch match;
  std::size_t& filled = match.holderCount;
  std::size_t previous = 0;
  for (std::size_t probe = kDepthProbes; probe > 0; --probe) {
    const std::size_t depth = known * probe / kDepthProbes;
    if (depth == 0 || depth == previous) {
      continue;
    }
    previous = depth;
    const Entry* entry = this->FindEntry(aBlocks[depth - 1]);
    if (entry == nullptr) {
      continue;
    }
    match.uses = std::max(match.uses, depth == known ? this->DecayedUses(*entry, now) : 0);
    for (const Holder& holder : entry->holders) {
      const double confidence = this->ConfidenceIn(holder, now);
      const auto listed =
        std::find_if(aHolders.begin(), aHolders.begin() + static_cast<std::ptrdiff_t>(filled),
                     [&](const PrefixHolder& aListed) { return aListed.tag == holder.tag; });
      const bool isNew = listed == aHolders.begin() + static_cast<std::ptrdiff_t>(filled);
      if (confidence > 0 && isNew && filled < aHolders.size()) {
        const double tokens = confidence * static_cast<double>(depth * this->settings.blockTokens);
        aHolders[filled++] = { holder.tag, tokens };
      }
    }
  }
  return match;
}

} // namespace lagoonward
