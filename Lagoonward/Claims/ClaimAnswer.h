#pragma once

#include "Lagoonward/Claims/ClaimLedger.h"
#include "Lagoonward/Core/Error.h"

#include <functional>

namespace lagoonward {

/// What became of a claim.
struct ClaimAnswer
{
  enum class Verdict
  {
    Won,         ///< First in the log; the claimant may dispatch.
    Lost,        ///< Another claim holds the key; see `holder`.
    Unavailable, ///< Not settled. The claimant must not dispatch, now or later.
    Expired,     ///< The key is older than the lifetime; whether it was used is not known any more.
    Unreachable, ///< The daemon asked did not answer, or is not ready; another one may be asked.
  };

  Verdict verdict = Verdict::Unavailable;
  ClaimHolder holder;              ///< For Lost.
  bool maybeRecorded = false;      ///< The claim may be in the log, or still get there.
  Milliseconds retryAfter{ 1000 }; ///< When to come back, if not settled.
};

using ClaimCallback = std::function<void(const ClaimAnswer&)>;

/// What to tell the caller of a claim that was not won.
/// @param aBodyHash  of the caller's own request
[[nodiscard]] Error
ToError(const ClaimAnswer& aAnswer, std::uint64_t aBodyHash);

} // namespace lagoonward
