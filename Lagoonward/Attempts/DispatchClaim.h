#pragma once

#include "Lagoonward/Claims/ClaimService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace lagoonward {

/// The claim that allows one non-idempotent request to run: requested before the first byte is sent and settled once
/// when the request has ended. Thread-safe.
class DispatchClaim
{
public:
  using ClaimCallback =
    std::function<void(std::shared_ptr<DispatchClaim> aClaim, const ClaimAnswer& aAnswer)>;

  /// Claims a key in the log.
  /// @param aOnSettled  called once, from any thread: with the claim if it was won, else with null and the reason
  static void Request(ClaimService& aClaims, const ClaimKey& aKey, std::uint64_t aBodyHash,
                      ClaimCallback aOnSettled);

  DispatchClaim(ClaimService& aClaims, ClaimTicketPtr aTicket);

  /// Call this right before the first byte of the first attempt is sent. Later calls return the same value.
  /// @return whether the request may be dispatched; if not, nothing runs under this claim
  [[nodiscard]] bool BeginDispatch();

  /// Records whether the request ran. Yes: it ran. No: it is proven that it did not run and never will, which frees the
  /// key. Unknown is not recorded, because readers assume it by default.
  void Settle(Ran aRan);

private:
  ClaimService& claims;
  ClaimTicketPtr ticket;
  std::mutex mutex;
  std::optional<bool> dispatched; ///< Result of the first BeginDispatch(). Guarded by mutex.
};

} // namespace lagoonward
