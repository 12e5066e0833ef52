#include "Lagoonward/Claims/ClaimAnswer.h"

namespace lagoonward {

Error
ToError(const ClaimAnswer& aAnswer, std::uint64_t aBodyHash)
{
  if (aAnswer.verdict == ClaimAnswer::Verdict::Expired) {
    return Error(ErrorKind::OutcomeUnknown,
                 "the idempotency key is older than keys are remembered; this call was not run");
  }
  if (aAnswer.verdict != ClaimAnswer::Verdict::Lost) {
    return Error(ErrorKind::ClaimUnavailable,
                 "the request could not be recorded, so it was not run")
      .WithRetryAfter(aAnswer.retryAfter);
  }
  if (aAnswer.holder.bodyHash != aBodyHash) {
    return Error(ErrorKind::KeyConflict, "the idempotency key was used with another body");
  }
  if (aAnswer.holder.ran == Ran::Yes) {
    return Error(ErrorKind::AlreadyRan, "a request with this key ran before");
  }
  return Error(ErrorKind::OutcomeUnknown, "a request with this key was claimed before");
}

} // namespace lagoonward
