#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonward {

/// 64-bit hash (XXH3) of the bytes. The value is the same on all daemons and in all releases.
[[nodiscard]] std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Mixes two hashes into one; the order matters.
[[nodiscard]] std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond);

/// Weight of a node for a key under rendezvous hashing; the node with the highest weight owns the key.
[[nodiscard]] inline std::uint64_t
RendezvousWeight(std::uint64_t aKeyHash, std::uint64_t aNodeHash)
{
  return CombineHashes(aKeyHash, aNodeHash);
}

} // namespace lagoonward
