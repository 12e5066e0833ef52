#include "Lagoonward/Claims/ClaimTicket.h"

namespace lagoonward {

ClaimTicket::ClaimTicket(Claim aClaim, TimePoint aDispatchBy)
  : claim(std::move(aClaim))
  , dispatchBy(aDispatchBy)
{
}

bool
ClaimTicket::MarkWon()
{
  const std::lock_guard lock(this->mutex);
  if (this->state != State::Pending) {
    return false;
  }
  this->state = State::Won;
  return true;
}

bool
ClaimTicket::BeginDispatch(const Clock& aClock)
{
  const std::lock_guard lock(this->mutex);
  if (this->state != State::Won || aClock.BootNow() >= this->dispatchBy) {
    return false;
  }
  this->state = State::Dispatched;
  return true;
}

bool
ClaimTicket::Close()
{
  const std::lock_guard lock(this->mutex);
  if (this->state == State::Dispatched || this->state == State::Closed) {
    return false;
  }
  this->state = State::Closed;
  return true;
}

bool
ClaimTicket::WasDispatched()
{
  const std::lock_guard lock(this->mutex);
  return this->state == State::Dispatched;
}

} // namespace lagoonward
