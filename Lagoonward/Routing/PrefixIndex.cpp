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
  , keys(std::max(aSettings.capacity / kWays, std::size_t{ 1 }) * kWays)
  , entries(keys.size())
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
    const Entry* found = this->FindEntry(block);
    if (found == nullptr) {
      continue;
    }
    const auto place = static_cast<std::size_t>(found - this->entries.data());
    Entry& entry = this->entries[place];
    bool held = false;
    for (Holder& holder : entry.holders) {
      holder = holder.tag == tag ? Holder{} : holder;
      held = held || holder.tag != 0;
    }
    if (!held) {
      this->keys[place] = 0;
      entry = {};
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

std::size_t
PrefixIndex::FirstWay(std::uint64_t aBlock) const
{
  return aBlock % (this->keys.size() / kWays) * kWays;
}

PrefixIndex::Entry&
PrefixIndex::Claim(std::uint64_t aBlock)
{
  const std::size_t first = this->FirstWay(aBlock);
  std::size_t place = first;
  for (std::size_t way = first; way < first + kWays; ++way) {
    if (this->keys[way] == aBlock) {
      return this->entries[way];
    }
    if (this->entries[way].used < this->entries[place].used) {
      place = way;
    }
  }
  this->keys[place] = aBlock;
  this->entries[place] = {};
  return this->entries[place];
}

const PrefixIndex::Entry*
PrefixIndex::FindEntry(std::uint64_t aBlock) const
{
  const std::size_t first = this->FirstWay(aBlock);
  for (std::size_t way = first; way < first + kWays; ++way) {
    if (this->keys[way] == aBlock) {
      return &this->entries[way];
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

std::size_t
PrefixIndex::DepthKnown(std::span<const std::uint64_t> aBlocks) const
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
  const Tick now = this->Now();
  const std::size_t known = this->DepthKnown(aBlocks);

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
