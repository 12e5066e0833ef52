#include "Lagoonward/Core/Hash.h"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lagoonward {

std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> pair{ aFirst, aSecond };
  return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace lagoonward
