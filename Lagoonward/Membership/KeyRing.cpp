#include "Lagoonward/Membership/KeyRing.h"

#include "Lagoonward/Core/Hash.h"

#include <sodium.h>

#include <algorithm>
#include <charconv>

namespace lagoonward {

namespace {

void
UpdateLengthPrefixed(crypto_generichash_state& aState, std::string_view aBytes)
{
  // Prefixes the length, so that different splits of the same bytes give different tags
  const auto size = static_cast<std::uint32_t>(aBytes.size());
  const std::array<unsigned char, 4> prefix{ static_cast<unsigned char>(size),
                                             static_cast<unsigned char>(size >> 8U),
                                             static_cast<unsigned char>(size >> 16U),
                                             static_cast<unsigned char>(size >> 24U) };
  crypto_generichash_update(&aState, prefix.data(), prefix.size());
  crypto_generichash_update(&aState, reinterpret_cast<const unsigned char*>(aBytes.data()),
                            aBytes.size());
}

} // namespace

Result<KeyRing>
KeyRing::Parse(std::string_view aText, std::string aCluster)
{
  if (sodium_init() < 0) {
    return Error(ErrorKind::Internal, "libsodium cannot be initialized");
  }
  KeyRing ring;
  ring.cluster = std::move(aCluster);
  while (!aText.empty()) {
    const auto comma = std::min(aText.find(','), aText.size());
    const std::string_view item = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));

    // ID:HEX
    const auto colon = item.find(':');
    Key key;
    const auto parsed =
      std::from_chars(item.data(), item.data() + std::min(colon, item.size()), key.id);
    if (colon == std::string_view::npos || parsed.ec != std::errc() ||
        parsed.ptr != item.data() + colon) {
      return Error(ErrorKind::InvalidSettings,
                   "expected a cluster key as ID:HEX, with ID from 0 to 255");
    }
    const std::string_view digits = item.substr(colon + 1);
    std::size_t decoded = 0;
    const bool isValid = digits.size() == 2 * kKeyBytes &&
                         sodium_hex2bin(key.bytes.data(), key.bytes.size(), digits.data(),
                                        digits.size(), nullptr, &decoded, nullptr) == 0 &&
                         decoded == kKeyBytes;
    if (!isValid) {
      return Error(ErrorKind::InvalidSettings, "expected a cluster key of 64 hexadecimal digits");
    }
    const bool isDuplicate = std::any_of(ring.keys.begin(), ring.keys.end(),
                                         [&](const Key& aKey) { return aKey.id == key.id; });
    if (isDuplicate) {
      return Error(ErrorKind::InvalidSettings, "two cluster keys have the same id");
    }
    ring.keys.push_back(key);
  }
  if (ring.keys.empty()) {
    return Error(ErrorKind::InvalidSettings, "at least one cluster key is needed");
  }
  return ring;
}

std::uint8_t
KeyRing::SigningKey() const
{
  return this->keys.front().id;
}

std::uint32_t
KeyRing::ClusterHash() const
{
  return static_cast<std::uint32_t>(HashBytes(this->cluster));
}

MessageTag
KeyRing::Sign(std::string_view aContext, std::string_view aMessage) const
{
  return this->Compute(this->keys.front(), aContext, aMessage);
}

bool
KeyRing::Verify(std::uint8_t aKeyId, std::string_view aContext, std::string_view aMessage,
                std::string_view aTag) const
{
  const auto key = std::find_if(this->keys.begin(), this->keys.end(),
                                [&](const Key& aKey) { return aKey.id == aKeyId; });
  if (key == this->keys.end() || aTag.size() != sizeof(MessageTag)) {
    return false;
  }
  const MessageTag expected = this->Compute(*key, aContext, aMessage);
  return sodium_memcmp(expected.data(), aTag.data(), expected.size()) == 0;
}

MessageTag
KeyRing::Compute(const Key& aKey, std::string_view aContext, std::string_view aMessage) const
{
  MessageTag tag{};
  crypto_generichash_state state;
  crypto_generichash_init(&state, aKey.bytes.data(), aKey.bytes.size(), tag.size());
  UpdateLengthPrefixed(state, this->cluster);
  UpdateLengthPrefixed(state, aContext);
  UpdateLengthPrefixed(state, aMessage);
  crypto_generichash_final(&state, tag.data(), tag.size());
  return tag;
}

} // namespace lagoonward
