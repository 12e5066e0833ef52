#include "StandIns/Engine/PrefixCache.h"

namespace lagoonward::standins {

PrefixCache::PrefixCache(std::size_t aCapacity, std::size_t aMaxEvents)
  : capacity(aCapacity)
  , maxEvents(aMaxEvents)
{
}

std::size_t
PrefixCache::Match(std::span<const std::uint64_t> aChain) const
{
  std::size_t matched = 0;
  while (matched < aChain.size() && this->entries.count(aChain[matched]) > 0) {
    ++matched;
  }
  return matched;
}

bool
PrefixCache::Pin(std::uint64_t aBlock)
{
  const auto found = this->entries.find(aBlock);
  if (found != this->entries.end()) {
    if (found->second.pins++ == 0) {
      this->unused.erase(found->second.lruPosition);
      ++this->pinned;
    }
    return true;
  }
  if (!this->MakeRoom()) {
    return false;
  }
  this->entries[aBlock].pins = 1;
  ++this->pinned;
  this->RecordEvent(true, aBlock);
  return true;
}

void
PrefixCache::Unpin(std::uint64_t aBlock)
{
  auto& entry = this->entries.at(aBlock);
  if (--entry.pins == 0) {
    entry.lruPosition = this->unused.insert(this->unused.end(), aBlock);
    --this->pinned;
  }
}

void
PrefixCache::DropEvents()
{
  this->events.clear();
}

bool
PrefixCache::MakeRoom()
{
  if (this->entries.size() < this->capacity) {
    return true;
  }
  if (this->unused.empty()) {
    return false;
  }
  const auto oldest = this->unused.front();
  this->unused.pop_front();
  this->entries.erase(oldest);
  this->RecordEvent(false, oldest);
  return true;
}

void
PrefixCache::RecordEvent(bool aStored, std::uint64_t aBlock)
{
  this->events.push_back(
    { this->nextSequence++, aStored, aBlock, std::chrono::steady_clock::now() });
  if (this->events.size() > this->maxEvents) {
    this->events.pop_front();
  }
}

} // namespace lagoonward::standins
