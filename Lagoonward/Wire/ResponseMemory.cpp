#include "Lagoonward/Wire/ResponseMemory.h"

#include "Lagoonward/Core/StringMemory.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

namespace lagoonward {

ResponseMemory::Account::Account(ResponseMemory& aOwner, std::string_view aSource,
                                 std::function<void()> aOnEvicted)
  : owner(aOwner)
  , source(aSource)
  , onEvicted(std::move(aOnEvicted))
  , position(aOwner.accounts.size())
{
  aOwner.accounts.push_back(this);
}

ResponseMemory::Account::~Account()
{
  this->owner.held -= this->bytes;
  std::vector<Account*>& all = this->owner.accounts;
  all[this->position] = all.back();
  all[this->position]->position = this->position;
  all.pop_back();
}

bool
ResponseMemory::Account::Set(std::size_t aBytes)
{
  if (this->isEvicted) {
    return false;
  }
  this->owner.held = this->owner.held - this->bytes + aBytes;
  this->bytes = aBytes;
  this->owner.EvictExcess();
  return !this->isEvicted;
}

bool
ResponseMemory::Account::Append(std::string& aBuffer, std::string_view aBytes)
{
  const std::size_t needed = aBuffer.size() + aBytes.size();
  if (needed > aBuffer.capacity()) {
    const std::size_t grown = std::max(needed, aBuffer.capacity() * 2);
    if (!this->Set(this->bytes + grown + 1 - HeapBytes(aBuffer))) {
      return false;
    }
    aBuffer.reserve(grown);
  }
  if (this->isEvicted) {
    return false;
  }
  aBuffer.append(aBytes);
  return true;
}

void
ResponseMemory::Account::Evict()
{
  this->owner.held -= std::exchange(this->bytes, 0);
  this->isEvicted = true;
  this->onEvicted();
}

ResponseMemory::ResponseMemory(std::size_t aMaximum)
  : maximum(aMaximum)
{
}

std::string
ResponseMemory::EvictionReason() const
{
  return fmt::format("stopped, as the responses of all requests hold more than {} bytes together",
                     this->maximum);
}

void
ResponseMemory::EvictExcess()
{
  while (this->held > this->maximum) {
    this->SelectVictim().Evict();
  }
}

ResponseMemory::Account&
ResponseMemory::SelectVictim() const
{
  std::unordered_map<std::string_view, std::size_t> sources;
  for (const Account* account : this->accounts) {
    if (!account->source.empty()) {
      sources[account->source] += account->bytes;
    }
  }
  const auto rank = [&sources](const Account* aAccount) {
    const std::size_t ofSource =
      aAccount->source.empty() ? aAccount->bytes : sources[aAccount->source];
    return std::make_pair(ofSource, aAccount->bytes);
  };
  const auto victim = std::max_element(
    this->accounts.begin(), this->accounts.end(),
    [&](const Account* aFirst, const Account* aSecond) { return rank(aFirst) < rank(aSecond); });
  assert(victim != this->accounts.end() && (*victim)->bytes > 0);
  return **victim;
}

} // namespace lagoonward
