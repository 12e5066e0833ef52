#pragma once

#include "Lagoonward/Claims/ClaimLedger.h"
#include "Lagoonward/Core/Error.h"

#include <functional>

namespace lagoonward {

/// The result of a claim.
struct ClaimAnswer
{
  enum class Verdict
  {
    Won,         ///< First claim of the key in the log; the claimant may dispatch.
    Lost,        ///< Another claim already holds the key; see `holder`.
    Unavailable, ///< Not decided. The claimant must not dispatch, now or later.
    Expired, ///< The key is older than the key lifetime; its earlier use can no longer be ruled out.
    Unreachable, ///< The daemon did not respond or has not loaded its stream; try another daemon.
  };

  Verdict verdict = Verdict::Unavailable;
  ClaimHolder holder;              ///< For Lost.
  bool maybeRecorded = false;      ///< The claim may be in the log, or may still be appended.
  Milliseconds retryAfter{ 1000 }; ///< Retry delay if the claim was not decided.
};

using ClaimCallback = std::function<void(const ClaimAnswer&)>;

/// The error to return to the caller of a claim that was not won.
/// @param aBodyHash  hash of the caller's own request body
[[nodiscard]] Error
ToError(const ClaimAnswer& aAnswer, std::uint64_t aBodyHash);

} // namespace lagoonward
