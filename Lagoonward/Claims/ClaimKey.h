#pragma once

#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// How many streams the claims of one region are spread over. Part of the format, not a setting: two
/// daemons that disagreed on it would look for one key in two streams.
inline constexpr std::size_t kClaimShards = 8;

/// Names one non-idempotent request: a digest of market, client account and idempotency key. The
/// texts themselves are not written to the log.
struct ClaimKey
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] auto operator<=>(const ClaimKey&) const = default;
};

/// Digest of the three names (BLAKE2b), so that no client can aim at another one's key.
[[nodiscard]] ClaimKey
MakeClaimKey(std::string_view aMarket, std::string_view aClient, std::string_view aIdempotencyKey);

/// The shard of a key, below kClaimShards.
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

/// Hash of a key for tables; the digest is uniform already.
struct ClaimKeyHash
{
  [[nodiscard]] std::size_t operator()(const ClaimKey& aKey) const noexcept { return aKey.low; }
};

} // namespace lagoonward
