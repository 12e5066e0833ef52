#include "Lagoonward/Routing/PrefixIndex.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

constexpr Milliseconds kTick{ 100 };
constexpr std::size_t kProbes = 8;

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , start(aClock.Now())
  , entries(std::max(aSettings.capacity / kWays, std::size_t{ 1 }) * kWays)
{
}

PrefixIndex::Tick
PrefixIndex::Now() const
{
  return static_cast<Tick>((this->clock.Now() - this->start) / kTick) + 1;
}

void
PrefixIndex::OnStored(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  this->Remember(aEndpointKey, aBlocks, true);
}

void
PrefixIndex::OnDispatched(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  this->Remember(aEndpointKey, aBlocks, false);
}

void
PrefixIndex::OnEvicted(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks)
{
  const auto tag = TagOf(aEndpointKey);
  for (const std::uint64_t block : aBlocks) {
    auto* entry = const_cast<Entry*>(this->FindEntry(block));
    if (entry == nullptr) {
      continue;
    }
    for (Holder& holder : entry->holders) {
      if (holder.tag == tag) {
        holder = {};
      }
    }
  }
}

void
PrefixIndex::OnGap(std::uint64_t aEndpointKey)
{
  this->doubts[TagOf(aEndpointKey)] = this->Now();
}

void
PrefixIndex::OnGone(std::uint64_t aEndpointKey)
{
  // Entries are left to age; a tick in the future of all of them makes them void
  this->resets[TagOf(aEndpointKey)] = this->Now() + 1;
  this->doubts.erase(TagOf(aEndpointKey));
}

void
PrefixIndex::Remember(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks,
                      bool aConfirmed)
{
  const auto tag = TagOf(aEndpointKey);
  const Tick now = this->Now();
  const std::uint32_t stamp = now * 2 + (aConfirmed ? 1 : 0);
  for (const std::uint64_t block : aBlocks) {
    Entry& entry = this->Claim(block);
    entry.uses = static_cast<float>(this->UsesOf(entry, now) + (aConfirmed ? 0 : 1));
    entry.used = now;

    // Its own place, else a free one, else the stalest
    Holder* place = entry.holders.data();
    for (Holder& holder : entry.holders) {
      if (holder.tag == tag) {
        place = &holder;
        break;
      }
      if (holder.stamp < place->stamp) {
        place = &holder;
      }
    }
    *place = { tag, stamp };
  }
}

PrefixIndex::Entry&
PrefixIndex::Claim(std::uint64_t aBlock)
{
  const std::size_t first = aBlock % (this->entries.size() / kWays) * kWays;
  Entry* oldest = &this->entries[first];
  for (std::size_t way = 0; way < kWays; ++way) {
    Entry& entry = this->entries[first + way];
    if (entry.used != 0 && entry.block == aBlock) {
      return entry;
    }
    if (entry.used < oldest->used) {
      oldest = &entry;
    }
  }
  *oldest = {};
  oldest->block = aBlock;
  return *oldest;
}

const PrefixIndex::Entry*
PrefixIndex::FindEntry(std::uint64_t aBlock) const
{
  const std::size_t first = aBlock % (this->entries.size() / kWays) * kWays;
  for (std::size_t way = 0; way < kWays; ++way) {
    const Entry& entry = this->entries[first + way];
    if (entry.used != 0 && entry.block == aBlock) {
      return &entry;
    }
  }
  return nullptr;
}

double
PrefixIndex::TrustIn(const Holder& aHolder, Tick aNow) const
{
  const Tick tick = aHolder.stamp / 2;
  if (aHolder.tag == 0 || (aNow - tick) * kTick > this->settings.maxAge) {
    return 0;
  }
  const auto reset = this->resets.find(aHolder.tag);
  if (reset != this->resets.end() && tick < reset->second) {
    return 0;
  }
  double trust = (aHolder.stamp & 1U) != 0 ? 1 : this->settings.dispatchedConfidence;
  const auto doubt = this->doubts.find(aHolder.tag);
  if (doubt != this->doubts.end() && tick < doubt->second) {
    trust *= this->settings.gapConfidence;
  }
  return trust;
}

double
PrefixIndex::UsesOf(const Entry& aEntry, Tick aNow) const
{
  const double age = static_cast<double>(aNow - aEntry.used) * kTick / this->settings.usesHalfLife;
  return aEntry.uses * std::exp2(-age);
}

bool
PrefixIndex::IsKnown(std::uint64_t aBlock, Tick aNow) const
{
  const Entry* entry = this->FindEntry(aBlock);
  return entry != nullptr &&
         std::any_of(entry->holders.begin(), entry->holders.end(),
                     [&](const Holder& aHolder) { return this->TrustIn(aHolder, aNow) > 0; });
}

PrefixMatch
PrefixIndex::Find(std::span<const std::uint64_t> aBlocks, std::span<PrefixHolder> aHolders) const
{
  // How deep anybody's knowledge goes
  const Tick now = this->Now();
  std::size_t known = 0;
  std::size_t unknown = aBlocks.size() + 1;
  while (known + 1 < unknown) {
    const std::size_t middle = (known + unknown) / 2;
    (this->IsKnown(aBlocks[middle - 1], now) ? known : unknown) = middle;
  }

  // Who knows that much, and who an eighth less, and so on
  PrefixMatch match;
  std::size_t& filled = match.holders;
  std::size_t previous = 0;
  for (std::size_t probe = kProbes; probe > 0; --probe) {
    const std::size_t depth = known * probe / kProbes;
    if (depth == 0 || depth == previous) {
      continue;
    }
    previous = depth;
    const Entry* entry = this->FindEntry(aBlocks[depth - 1]);
    if (entry == nullptr) {
      continue;
    }
    match.uses = std::max(match.uses, depth == known ? this->UsesOf(*entry, now) : 0);
    for (const Holder& holder : entry->holders) {
      const double trust = this->TrustIn(holder, now);
      const auto listed =
        std::find_if(aHolders.begin(), aHolders.begin() + static_cast<std::ptrdiff_t>(filled),
                     [&](const PrefixHolder& aListed) { return aListed.tag == holder.tag; });
      const bool isNew = listed == aHolders.begin() + static_cast<std::ptrdiff_t>(filled);
      if (trust > 0 && isNew && filled < aHolders.size()) {
        const double tokens = trust * static_cast<double>(depth * this->settings.blockTokens);
        aHolders[filled++] = { holder.tag, tokens };
      }
    }
  }
  return match;
}

} // namespace lagoonward
