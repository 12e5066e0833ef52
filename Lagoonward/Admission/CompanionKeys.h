#pragma once

#include <array>
#include <cstdint>
#include <span>

namespace lagoonward {

/// The other suspects that were present at each crash that is counted for a key: the key alone is to blame only as far as
/// others were absent at times. Bounded: further keys are dropped, which blames the key sooner.
class CompanionKeys
{
public:
  static constexpr std::size_t kCapacity = 8;

  /// Adds a key, if there is room.
  void Add(std::uint64_t aKey);

  /// Keeps only the keys that the other set has as well.
  void IntersectWith(const CompanionKeys& aOther);

  /// Whether all keys are among aKeys.
  [[nodiscard]] bool AreWithin(std::span<const std::uint64_t> aKeys) const;

  [[nodiscard]] std::span<const std::uint64_t> Keys() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->count);
    if (this->count > kCapacity) {
      this->count = kCapacity;
    }
    for (std::size_t index = 0; index < this->count; ++index) {
      aArchive(this->keys[index]);
    }
  }

private:
  std::array<std::uint64_t, kCapacity> keys{};
  std::uint8_t count = 0;
};

} // namespace lagoonward
