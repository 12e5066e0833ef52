#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One endpoint that is thought to have the beginning of a prompt in its cache.
struct PrefixHolder
{
  std::uint32_t tag = 0; ///< PrefixIndex::TagOf() of the endpoint's key.
  double tokens = 0;     ///< Expected cached tokens: matched ones times the trust in the entry.
};

/// What Find() found.
struct PrefixMatch
{
  std::size_t holderCount = 0; ///< How many were filled in.
  double uses =
    0; ///< Own dispatches of the longest known beginning lately, decayed by half per half-life.
};

/// What this daemon knows of the engines' prefix caches: from their cache events, which come late and
/// with gaps, and from its own dispatches. Memory is bounded; the entries longest unused go first. A block's
/// hash covers all blocks before it, so knowing a deep block is knowing the prefix. A wrong entry
/// costs a prefill, never a wrong answer. Not thread-safe.
class PrefixIndex
{
public:
  PrefixIndex(const PrefixIndexSettings& aSettings, const Clock& aClock);

  /// Short name of an endpoint inside the index. Two endpoints may share one, at a chance of
  /// n * n / 2^33; they then look cached alike.
  [[nodiscard]] static std::uint32_t TagOf(std::uint64_t aEndpointKey)
  {
    return static_cast<std::uint32_t>(aEndpointKey) | 1U;
  }

  /// The endpoint's events say that it has these blocks.
  void OnStored(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// The endpoint's events say that it no longer has them.
  void OnEvicted(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// Events of that endpoint were missed: what was known before is trusted less.
  void OnGap(std::uint64_t aEndpointKey);

  /// A prompt of these blocks has been sent there, so they will be cached unless evicted.
  void OnDispatched(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// The endpoint is gone or has restarted empty.
  void OnReset(std::uint64_t aEndpointKey);

  /// Endpoints that hold the longest known beginnings of a prompt, best first per probe. Looks at a number of blocks
  /// that grows with the logarithm of the prompt only; matches may be understated by an eighth.
  [[nodiscard]] PrefixMatch Find(std::span<const std::uint64_t> aBlocks,
                                 std::span<PrefixHolder> aHolders) const;

private:
  static constexpr std::size_t kHoldersPerBlock = 12; ///< Endpoints remembered per block.
  static constexpr std::size_t kWays = 4;     ///< Places that one block may take.

  /// Ticks of a tenth of a second since the index was made, from 1 on.
  using Tick = std::uint32_t;

  struct Holder
  {
    std::uint32_t tag = 0;   ///< Zero when free.
    std::uint32_t stamp = 0; ///< Tick of the last news, times two; odd when confirmed by an event.
  };

  struct Entry
  {
    Tick updated = 0;  ///< Last news or dispatch.
    float uses = 0; ///< Own dispatches, decayed up to `used`.
    std::array<Holder, kHoldersPerBlock> holders;
  };

  [[nodiscard]] Tick CurrentTick() const;
  [[nodiscard]] const Entry* FindEntry(std::uint64_t aBlock) const;
  [[nodiscard]] Entry& FindOrReplace(std::uint64_t aBlock);
  [[nodiscard]] double ConfidenceIn(const Holder& aHolder, Tick aNow) const;
  [[nodiscard]] double DecayedUses(const Entry& aEntry, Tick aNow) const;
  [[nodiscard]] std::size_t FirstWayOf(std::uint64_t aBlock) const;
  [[nodiscard]] std::size_t KnownDepth(std::span<const std::uint64_t> aBlocks) const;
  void Record(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks,
                bool aConfirmed);

  PrefixIndexSettings settings;
  const Clock& clock;
  TimePoint start;
  /// Block of each entry, zero when free; kept apart so that probes stay in the processor's cache.
  std::vector<std::uint64_t> keys;
  std::vector<Entry> entries; ///< Sets of kWays entries.
  std::unordered_map<std::uint32_t, Tick>
    gapTicks; ///< Per tag: entries before that tick are doubtful.
  std::unordered_map<std::uint32_t, Tick> resetTicks; ///< Per tag: entries before that tick are void.
};

} // namespace lagoonward
