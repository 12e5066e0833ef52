#include "Lagoonward/Relay/WaitingBytes.h"

#include <utility>

namespace lagoonward {

WaitingBytes::Hold::Hold(WaitingBytes& aOwner, std::size_t aBytes)
  : owner(&aOwner)
  , bytes(aBytes)
{
  aOwner.held += aBytes;
}

WaitingBytes::Hold::Hold(Hold&& aOther) noexcept
  : owner(std::exchange(aOther.owner, nullptr))
  , bytes(aOther.bytes)
{
}

WaitingBytes::Hold&
WaitingBytes::Hold::operator=(Hold&& aOther) noexcept
{
  std::swap(this->owner, aOther.owner);
  std::swap(this->bytes, aOther.bytes);
  return *this;
}

WaitingBytes::Hold::~Hold()
{
  if (this->owner != nullptr) {
    this->owner->held -= this->bytes;
  }
}

WaitingBytes::WaitingBytes(std::size_t aMaximum)
  : maximum(aMaximum)
{
}

std::optional<WaitingBytes::Hold>
WaitingBytes::TryHold(std::size_t aBytes)
{
  if (aBytes > this->maximum - this->held) {
    return std::nullopt;
  }
  return Hold(*this, aBytes);
}

} // namespace lagoonward
