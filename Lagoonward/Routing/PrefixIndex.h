#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One endpoint that is expected to have a prefix of a prompt in its cache.
struct PrefixHolder
{
  std::uint32_t tag = 0; ///< PrefixIndex::TagOf() of the endpoint's key.
  double tokens = 0; ///< Expected cached tokens: matched tokens times the confidence in the entry.
};

/// Result of PrefixIndex::Find().
struct PrefixMatch
{
  std::size_t holderCount = 0; ///< Entries written to aHolders.
  /// Dispatches of the longest known prefix by this daemon, with exponential decay (PrefixIndexSettings::usesHalfLife).
  double uses = 0;
};

/// Estimate of the contents of the engines' prefix caches, from their cache events, which arrive late and with gaps,
/// and from this daemon's own dispatches. A set-associative table of bounded size; the least recently used entry of a
/// set is evicted first. A block's hash covers all blocks before it, so an entry for a deep block implies the whole
/// prefix. A wrong entry costs a prefill, never a wrong answer. Not thread-safe.
class PrefixIndex
{
public:
  PrefixIndex(const PrefixIndexSettings& aSettings, const Clock& aClock);

  /// 32-bit identifier of an endpoint inside the index. With n endpoints, two share a tag with a probability of about
  /// n * n / 2^33; their cache contents are then not distinguished.
  [[nodiscard]] static std::uint32_t TagOf(std::uint64_t aEndpointKey)
  {
    return static_cast<std::uint32_t>(aEndpointKey) | 1U;
  }

  /// Handles cache events: the endpoint has stored these blocks.
  void OnStored(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// Handles cache events: the endpoint has evicted these blocks.
  void OnEvicted(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// Cache events of the endpoint were missed: the confidence in its older entries is reduced.
  void OnGap(std::uint64_t aEndpointKey);

  /// A prompt of these blocks was sent to the endpoint, which will have them cached unless it evicts them.
  void OnDispatched(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks);

  /// The endpoint has terminated or restarted with an empty cache: all its entries become invalid.
  void OnReset(std::uint64_t aEndpointKey);

  /// Endpoints whose gap or reset is remembered.
  [[nodiscard]] std::size_t RememberedEndpoints() const
  {
    return this->gapTicks.size() + this->resetTicks.size();
  }

  /// Fills aHolders with the endpoints that hold the longest known prefixes of a prompt, longest prefix first. The
  /// number of blocks examined grows with the logarithm of the prompt length; a match may be understated by an eighth.
  [[nodiscard]] PrefixMatch Find(std::span<const std::uint64_t> aBlocks,
                                 std::span<PrefixHolder> aHolders) const;

private:
  static constexpr std::size_t kHoldersPerBlock = 12; ///< Endpoints stored per block.
  /// Associativity: entries in which one block may be stored.
  static constexpr std::size_t kWays = 4;

  /// Time in ticks of 100 ms since construction, starting at 1.
  using Tick = std::uint32_t;

  struct Holder
  {
    std::uint32_t tag = 0; ///< Zero when unused.
    /// Tick of the last update times two; odd if confirmed by a cache event.
    std::uint32_t stamp = 0;
  };

  struct Entry
  {
    Tick updated = 0; ///< Tick of the last cache event or dispatch.
    float uses = 0;   ///< Dispatches by this daemon, decayed up to `updated`.
    std::array<Holder, kHoldersPerBlock> holders;
  };

  using TicksByTag = std::unordered_map<std::uint32_t, Tick>;

  [[nodiscard]] Tick CurrentTick() const;
  /// Removes ticks so old that every entry they concern has expired.
  void RemoveExpired(TicksByTag& aTicks) const;
  [[nodiscard]] const Entry* FindEntry(std::uint64_t aBlock) const;
  [[nodiscard]] Entry& FindOrReplace(std::uint64_t aBlock);
  [[nodiscard]] double ConfidenceIn(const Holder& aHolder, Tick aNow) const;
  [[nodiscard]] double DecayedUses(const Entry& aEntry, Tick aNow) const;
  [[nodiscard]] std::size_t FirstWayOf(std::uint64_t aBlock) const;
  [[nodiscard]] std::size_t KnownDepth(std::span<const std::uint64_t> aBlocks) const;
  void Record(std::uint64_t aEndpointKey, std::span<const std::uint64_t> aBlocks, bool aConfirmed);

  PrefixIndexSettings settings;
  const Clock& clock;
  TimePoint start;
  /// Block hash of each entry, zero when unused; a separate array so that lookups stay in the CPU cache.
  std::vector<std::uint64_t> keys;
  std::vector<Entry> entries; ///< Parallel to `keys`; sets of kWays entries.
  TicksByTag gapTicks;        ///< By tag: older entries have less confidence.
  TicksByTag resetTicks;      ///< By tag: older entries are invalid.
};

} // namespace lagoonward
