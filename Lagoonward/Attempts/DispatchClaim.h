#pragma once

#include "Lagoonward/Claims/ClaimService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace lagoonward {

/// The claim under which one non-idempotent request runs: asked for before the first byte is sent,
/// settled once when the request is over. Safe from any thread.
class DispatchClaim
{
public:
  using Settled =
    std::function<void(std::shared_ptr<DispatchClaim> aClaim, const ClaimAnswer& aAnswer)>;

  /// Claims a key in the log.
  /// @param aOnSettled  called once, from any thread, with the claim when it was won; else with null
  ///                    and why not
  static void Ask(ClaimService& aClaims, const ClaimKey& aKey, std::uint64_t aBodyHash,
                  Settled aOnSettled);

  DispatchClaim(ClaimService& aClaims, ClaimTicketPtr aTicket);

  /// To be asked right before the first byte of the first attempt is sent; later calls agree.
  /// @return whether the request may be dispatched; if not, nothing runs under this claim
  [[nodiscard]] bool BeginDispatch();

  /// Records what became of the request: Yes when it ran, No only with a proof that it did not and
  /// never will, which frees the key. Unknown is what readers assume, so it is not recorded.
  void Settle(Ran aRan);

private:
  ClaimService& claims;
  ClaimTicketPtr ticket;
  std::mutex mutex;
  std::optional<bool> dispatched; ///< Answer to the first BeginDispatch(). Guarded by mutex.
};

} // namespace lagoonward
