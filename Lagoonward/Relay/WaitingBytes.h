#pragma once

#include <cstddef>
#include <optional>

namespace lagoonward {

/// Bounds the memory that requests occupy while they wait for a slot. Not thread-safe.
class WaitingBytes
{
public:
  /// The bytes of one request, until it is destroyed. Movable, not copyable.
  class Hold
  {
  public:
    Hold(Hold&& aOther) noexcept;
    Hold& operator=(Hold&& aOther) noexcept;
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    ~Hold();

  private:
    friend class WaitingBytes;
    Hold(WaitingBytes& aOwner, std::size_t aBytes);

    WaitingBytes* owner; ///< Null once it has been moved from.
    std::size_t bytes;
  };

  explicit WaitingBytes(std::size_t aMaximum);
  WaitingBytes(const WaitingBytes&) = delete;
  WaitingBytes& operator=(const WaitingBytes&) = delete;

  /// Nothing if the maximum would be exceeded. It must outlive the hold.
  [[nodiscard]] std::optional<Hold> TryHold(std::size_t aBytes);

  [[nodiscard]] std::size_t Held() const { return this->held; }

private:
  std::size_t maximum;
  std::size_t held = 0;
};

} // namespace lagoonward
