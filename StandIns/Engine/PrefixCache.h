#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward::standins {

/// One change of the cache, as reported by `GET /v1/cache-events`.
struct CacheEvent
{
  std::int64_t sequence = 0;
  bool stored = false; ///< Otherwise evicted.
  std::uint64_t block = 0;
  std::chrono::steady_clock::time_point at;
};

/// KV memory of an engine: a limited number of blocks, identified by their chain hash. Blocks in use are
/// pinned; the others remain as prefix cache until memory is needed and are evicted in LRU order.
/// Not thread-safe.
class PrefixCache
{
public:
  /// @param aCapacity   maximum number of blocks
  /// @param aMaxEvents  number of events that are retained for readers
  PrefixCache(std::size_t aCapacity, std::size_t aMaxEvents);

  /// Number of leading blocks of the chain that are cached. Pins nothing.
  [[nodiscard]] std::size_t Match(std::span<const std::uint64_t> aChain) const;

  /// Pins the block and stores it first if it is new. Returns false if all memory is pinned.
  [[nodiscard]] bool Pin(std::uint64_t aBlock);

  /// Releases one pin.
  void Unpin(std::uint64_t aBlock);

  /// Discards all retained events, so that every reader sees a gap.
  void DropEvents();

  [[nodiscard]] std::size_t Pinned() const { return this->pinned; }
  [[nodiscard]] std::size_t Capacity() const { return this->capacity; }
  [[nodiscard]] const std::deque<CacheEvent>& Events() const { return this->events; }
  [[nodiscard]] std::int64_t NextSequence() const { return this->nextSequence; }

private:
  struct Entry
  {
    int pins = 0;
    std::list<std::uint64_t>::iterator
      lruPosition; ///< Position in `unused`; valid only while there is no pin.
  };

  [[nodiscard]] bool MakeRoom();
  void RecordEvent(bool aStored, std::uint64_t aBlock);

  std::size_t capacity;
  std::size_t maxEvents;
  std::size_t pinned = 0;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::list<std::uint64_t> unused; ///< Least recently used first.
  std::deque<CacheEvent> events;
  std::int64_t nextSequence = 0;
};

} // namespace lagoonward::standins
