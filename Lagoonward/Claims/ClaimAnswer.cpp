#include "Lagoonward/Claims/ClaimAnswer.h"

namespace lagoonward {

Error
ToError(const ClaimAnswer& aAnswer, std::uint64_t aBodyHash)
{
  if (aAnswer.verdict == ClaimAnswer::Verdict::Expired) {
    return Error(ErrorKind::OutcomeUnknown,
                 "the idempotency key is older than the retention of keys; this call was not run");
  }
  if (aAnswer.verdict != ClaimAnswer::Verdict::Lost) {
    return Error(ErrorKind::ClaimUnavailable, "the claim of the request could not be recorded in "
                                              "the log, so the request was not run")
      .WithRetryAfter(aAnswer.retryAfter);
  }
  if (aAnswer.holder.bodyHash != aBodyHash) {
    return Error(ErrorKind::KeyConflict,
                 "the idempotency key was already used with another request body");
  }
  if (aAnswer.holder.ran == Ran::Yes) {
    return Error(ErrorKind::AlreadyRan, "a request with this idempotency key has already run");
  }
  return Error(
    ErrorKind::OutcomeUnknown,
    "a request with this idempotency key was already claimed; whether it ran is unknown");
}

} // namespace lagoonward
