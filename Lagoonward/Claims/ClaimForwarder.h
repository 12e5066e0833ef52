#pragma once

#include "Lagoonward/Claims/ClaimAnswer.h"

namespace lagoonward {

/// Carries claims to the daemon that batches their shard. Implemented by the transport between
/// daemons; the other end hands them to ClaimService::Receive() and ReceiveOutcome().
class ClaimForwarder
{
public:
  virtual ~ClaimForwarder() = default;

  /// Asks a daemon to batch a claim. aCallback must be called exactly once, within aBudget, from any
  /// thread; with Unreachable if no answer came. A duplicate that the other end gets is harmless.
  virtual void ForwardClaim(const std::string& aDaemon, const Claim& aClaim, Milliseconds aBudget,
                            ClaimCallback aCallback) = 0;

  /// Asks a daemon to record an outcome.
  /// @return whether it was delivered, as far as is known at once; if not, the caller records it
  [[nodiscard]] virtual bool ForwardOutcome(const std::string& aDaemon,
                                            const ClaimOutcome& aOutcome) = 0;
};

} // namespace lagoonward
