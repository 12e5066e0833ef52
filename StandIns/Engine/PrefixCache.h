#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward::standins {

/// One change of the cache, as `GET /v1/cache-events` tells it.
struct CacheEvent
{
  std::int64_t sequence = 0;
  bool stored = false; ///< Otherwise evicted.
  std::uint64_t block = 0;
  std::chrono::steady_clock::time_point at;
};

/// An engine's KV memory: a limited number of blocks, each known by its chain hash. Blocks in use are
/// pinned; the others stay as prefix cache until room is needed, the least recently used go first.
/// Not thread safe.
class PrefixCache
{
public:
  /// @param aCapacity    blocks that fit
  /// @param aEventsKept  events that are kept for readers who come late
  PrefixCache(std::size_t aCapacity, std::size_t aEventsKept);

  /// How many of the leading blocks are here. Pins nothing.
  [[nodiscard]] std::size_t Match(std::span<const std::uint64_t> aChain) const;

  /// Pins the block, storing it first where it is new. False when all memory is pinned.
  [[nodiscard]] bool Pin(std::uint64_t aBlock);

  /// Gives back one pin.
  void Unpin(std::uint64_t aBlock);

  /// Forgets all kept events, so that every reader finds a gap.
  void DropEvents();

  [[nodiscard]] std::size_t Pinned() const { return this->pinned; }
  [[nodiscard]] std::size_t Capacity() const { return this->capacity; }
  [[nodiscard]] const std::deque<CacheEvent>& Events() const { return this->events; }
  [[nodiscard]] std::int64_t NextSequence() const { return this->nextSequence; }

private:
  struct Entry
  {
    int pins = 0;
    std::list<std::uint64_t>::iterator place; ///< In `unused`, only while there is no pin.
  };

  [[nodiscard]] bool MakeRoom();
  void Tell(bool aStored, std::uint64_t aBlock);

  std::size_t capacity;
  std::size_t eventsKept;
  std::size_t pinned = 0;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::list<std::uint64_t> unused; ///< Least recently used first.
  std::deque<CacheEvent> events;
  std::int64_t nextSequence = 0;
};

} // namespace lagoonward::standins
