#pragma once

#include <compare>
#include <cstdint>

namespace lagoonward {

/// Number of a record in a log stream. Also used as the version of a configuration and as the fencing number of a lease.
using Offset = std::int64_t;

/// The offset that stands for no record.
inline constexpr Offset kNoOffset = -1;

/// Position of a record in a log that may be restored from an older copy. A restored log gives out offsets again that it
/// had given out before; its epoch, which each restore raises, tells them apart. All positions of an epoch come after those
/// of earlier epochs.
struct LogPosition
{
  /// Implicit, since an offset is a position of a log that was never restored.
  constexpr LogPosition(Offset aOffset = 0, std::int64_t aEpoch = 0)
    : epoch(aEpoch)
    , offset(aOffset)
  {
  }

  bool operator==(const LogPosition& aOther) const = default;
  auto operator<=>(const LogPosition& aOther) const = default; // NOLINT(modernize-use-nullptr)

  /// Not compared to bare offsets, which do not tell their epoch.
  auto operator<=>(Offset aOffset) const = delete;
  bool operator==(Offset aOffset) const = delete;

  /// The position of the record that follows.
  [[nodiscard]] constexpr LogPosition Next() const { return { this->offset + 1, this->epoch }; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->epoch, this->offset);
  }

  std::int64_t epoch; ///< Compared first.
  Offset offset;
};

} // namespace lagoonward
