#pragma once

#include "Lagoonward/Claims/ClaimRecord.h"

#include <mutex>

namespace lagoonward {

/// The claimant's local state of one claim; a request can be dispatched only through its ticket. Exactly one
/// of BeginDispatch() and Close() succeeds, so a request that was refused is never dispatched later, even if
/// answers arrive late or the process was paused. Safe from any thread.
class ClaimTicket
{
public:
  /// @param aDispatchBy  deadline on the boot clock, which includes time spent suspended; must be far below
  ///                     the key's lifetime, so that a daemon that resumes late does not run a request that
  ///                     others may claim again
  ClaimTicket(Claim aClaim, TimePoint aDispatchBy);

  [[nodiscard]] const Claim& GetClaim() const { return this->claim; }

  /// Records that the claim is the first of its key in the log.
  /// @return false if the ticket was already closed
  [[nodiscard]] bool MarkWon();

  /// Must be called right before the first byte is sent.
  /// @return whether the request may be dispatched; true at most once
  [[nodiscard]] bool BeginDispatch(const Clock& aClock);

  /// Withdraws the claim permanently.
  /// @return true if this call closed the ticket, so that nothing was dispatched and nothing ever will be
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
