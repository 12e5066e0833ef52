#pragma once

#include "Lagoonward/Core/Result.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Authentication tag of a message, computed with a key of the cluster.
using MessageTag = std::array<unsigned char, 16>;

/// The cluster's shared keys. The first key signs; all keys verify. Tags are keyed BLAKE2b
/// (libsodium's crypto_generichash), computed over the cluster id, a context and the message.
///
/// Key rollover without rejected messages; each step is completed on all daemons before the next:
/// 1. append the new key, 2. put it first, 3. remove the old one.
class KeyRing
{
public:
  static constexpr std::size_t kKeyBytes = 32;

  /// Reads `ID:HEX[,ID:HEX…]`, with ID from 0 to 255 and HEX 64 digits. The first key signs.
  /// @return InvalidSettings if the text is malformed or an id occurs twice
  [[nodiscard]] static Result<KeyRing> Parse(std::string_view aText, std::string aCluster);

  /// Id of the key that signs.
  [[nodiscard]] std::uint8_t SigningKey() const;

  /// Short hash of the cluster's id, sent in clear to distinguish another cluster from a wrong key.
  [[nodiscard]] std::uint32_t ClusterHash() const;

  /// Tag of a message under the signing key.
  [[nodiscard]] MessageTag Sign(std::string_view aContext, std::string_view aMessage) const;

  /// Whether the tag matches the message; false for an unknown key. The comparison takes constant
  /// time.
  [[nodiscard]] bool Verify(std::uint8_t aKeyId, std::string_view aContext,
                            std::string_view aMessage, std::string_view aTag) const;

private:
  struct Key
  {
    std::uint8_t id = 0;
    std::array<unsigned char, kKeyBytes> bytes{};
  };

  [[nodiscard]] MessageTag Compute(const Key& aKey, std::string_view aContext,
                                   std::string_view aMessage) const;

  std::string cluster;
  std::vector<Key> keys; ///< Never empty after Parse().
};

} // namespace lagoonward
