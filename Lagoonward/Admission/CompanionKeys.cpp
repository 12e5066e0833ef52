#include "Lagoonward/Admission/CompanionKeys.h"

#include <algorithm>

namespace lagoonward {

namespace {

bool
Contains(std::span<const std::uint64_t> aKeys, std::uint64_t aKey)
{
  return std::find(aKeys.begin(), aKeys.end(), aKey) != aKeys.end();
}

} // namespace

void
CompanionKeys::Add(std::uint64_t aKey)
{
  if (this->count < kCapacity && !Contains(this->Keys(), aKey)) {
    this->keys.at(this->count++) = aKey;
  }
}

void
CompanionKeys::IntersectWith(const CompanionKeys& aOther)
{
  const auto begin = this->keys.begin();
  const auto end = std::remove_if(
    begin, begin + this->count, [&](std::uint64_t aKey) { return !Contains(aOther.Keys(), aKey); });
  this->count = static_cast<std::uint8_t>(end - begin);
}

bool
CompanionKeys::AreWithin(std::span<const std::uint64_t> aKeys) const
{
  const auto own = this->Keys();
  return std::all_of(own.begin(), own.end(),
                     [&](std::uint64_t aKey) { return Contains(aKeys, aKey); });
}

std::span<const std::uint64_t>
CompanionKeys::Keys() const
{
  return std::span(this->keys).first(this->count);
}

} // namespace lagoonward
