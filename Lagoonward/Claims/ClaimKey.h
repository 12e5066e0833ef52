#pragma once

#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// Number of streams over which the claims of one region are sharded. It is part of the storage format and
/// not a setting: daemons with different values would look for one key in different streams.
inline constexpr std::size_t kClaimShards = 8;

/// Identifies one non-idempotent request: a digest of market, client account and idempotency key. The
/// names themselves are not written to the log.
struct ClaimKey
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] auto operator<=>(const ClaimKey&) const = default;
};

/// Digest of the three names with BLAKE2b, a cryptographic hash, so that no client can construct a collision
/// with another client's key.
[[nodiscard]] ClaimKey
MakeClaimKey(std::string_view aMarket, std::string_view aClient, std::string_view aIdempotencyKey);

/// The shard of a key, less than kClaimShards.
[[nodiscard]] std::size_t
ShardOf(const ClaimKey& aKey);

/// Name of the stream of one shard: `claims/REGION/SHARD`.
[[nodiscard]] std::string
ClaimStream(std::string_view aRegion, std::size_t aShard);

/// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string
ToHex(std::uint64_t aValue);

/// Inverse of ToHex().
[[nodiscard]] std::optional<std::uint64_t>
FromHex(std::string_view aDigits);

/// Hash of a key for hash tables. The digest is already uniformly distributed.
struct ClaimKeyHash
{
  [[nodiscard]] std::size_t operator()(const ClaimKey& aKey) const noexcept { return aKey.low; }
};

} // namespace lagoonward
