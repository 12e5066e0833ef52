#pragma once

#include "Lagoonward/Claims/ClaimRecord.h"

#include <mutex>

namespace lagoonward {

/// The claimant's own record of one claim, and the only way to dispatch under it. Exactly one of
/// BeginDispatch() and Close() succeeds, so a request that was refused is never dispatched later,
/// whatever arrives and however long the process was paused. Safe from any thread.
class ClaimTicket
{
public:
  /// @param aDispatchBy  on the clock that counts suspension; far below the key's lifetime, so that
  ///                     a daemon that wakes late does not run what others may claim again
  ClaimTicket(Claim aClaim, TimePoint aDispatchBy);

  [[nodiscard]] const Claim& GetClaim() const { return this->claim; }

  /// Notes that the claim is first in the log.
  /// @return false if the ticket was closed before
  [[nodiscard]] bool MarkWon();

  /// To be asked right before the first byte is sent.
  /// @return whether the request may be dispatched; true at most once
  [[nodiscard]] bool BeginDispatch(const Clock& aClock);

  /// Gives the claim up for good.
  /// @return true if this call closed it: nothing was dispatched, nor ever will be
  [[nodiscard]] bool Close();

  /// Whether BeginDispatch() has succeeded.
  [[nodiscard]] bool WasDispatched();

private:
  enum class State
  {
    Pending,
    Won,
    Dispatched,
    Closed,
  };

  const Claim claim;
  const TimePoint dispatchBy;
  std::mutex mutex;
  State state = State::Pending; ///< Guarded by `mutex`.
};

} // namespace lagoonward
