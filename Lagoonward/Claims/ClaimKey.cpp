#include "Lagoonward/Claims/ClaimKey.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <charconv>
#include <cstring>

namespace lagoonward {

namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

/// Hashes a text prefixed with its length, so that different lists of texts never hash the same bytes.
void
AddText(crypto_generichash_state& aState, std::string_view aText)
{
  const std::uint64_t size = aText.size();
  std::array<unsigned char, sizeof(size)> prefix{};
  std::memcpy(prefix.data(), &size, sizeof(size));
  crypto_generichash_update(&aState, prefix.data(), prefix.size());
  crypto_generichash_update(&aState, reinterpret_cast<const unsigned char*>(aText.data()),
                            aText.size());
}

} // namespace

ClaimKey
MakeClaimKey(std::string_view aMarket, std::string_view aClient, std::string_view aIdempotencyKey)
{
  crypto_generichash_state state;
  std::array<unsigned char, sizeof(ClaimKey)> digest{};
  crypto_generichash_init(&state, nullptr, 0, digest.size());
  AddText(state, aMarket);
  AddText(state, aClient);
  AddText(state, aIdempotencyKey);
  crypto_generichash_final(&state, digest.data(), digest.size());
  ClaimKey key;
  std::memcpy(&key, digest.data(), sizeof(key));
  return key;
}

std::size_t
ShardOf(const ClaimKey& aKey)
{
  return aKey.high % kClaimShards;
}

std::string
ClaimStream(std::string_view aRegion, std::size_t aShard)
{
  return fmt::format("claims/{}/{}", aRegion, aShard);
}

std::string
ToHex(std::uint64_t aValue)
{
  return fmt::format("{:016x}", aValue);
}

std::optional<std::uint64_t>
FromHex(std::string_view aDigits)
{
  std::uint64_t value = 0;
  const char* end = aDigits.data() + aDigits.size();
  const auto parsed = std::from_chars(aDigits.data(), end, value, kHexBase);
  if (aDigits.size() != kHexDigits || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace lagoonward
