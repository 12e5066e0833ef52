#include "Lagoonward/Frontend/ClientAuthenticator.h"

#include <sodium.h>

#include <array>

namespace lagoonward {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kHexBytes = crypto_hash_sha256_BYTES * 2;

/// SHA-256 of the key in lower-case hexadecimal, null-terminated.
std::array<char, kHexBytes + 1>
HashKey(std::string_view aKey)
{
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size());
  std::array<char, kHexBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return hex;
}

} // namespace

Result<const ManifestClient*>
ClientAuthenticator::Find(const Manifest& aManifest, std::string_view aAuthorization)
{
  const ManifestClient* match = nullptr;
  if (aAuthorization.starts_with(kScheme)) {
    const auto hex = HashKey(aAuthorization.substr(kScheme.size()));
    // All accounts are compared even after a match, so that the duration does not reveal which one matches
    for (const ManifestClient& client : aManifest.clients) {
      const bool equal = client.keySha256.size() == kHexBytes &&
                         sodium_memcmp(client.keySha256.data(), hex.data(), kHexBytes) == 0;
      match = equal ? &client : match;
    }
  }
  if (match == nullptr) {
    return Error(ErrorKind::Unauthorized, "The key belongs to no client account of this market.");
  }
  return match;
}

} // namespace lagoonward
