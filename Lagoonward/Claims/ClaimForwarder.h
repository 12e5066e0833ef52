#pragma once

#include "Lagoonward/Claims/ClaimAnswer.h"

namespace lagoonward {

/// Sends claims to the daemon that batches their shard. Implemented by the transport between daemons; the
/// receiving daemon passes them to ClaimService::Receive() and ReceiveOutcome().
class ClaimForwarder
{
public:
  virtual ~ClaimForwarder() = default;

  /// Sends a claim to a daemon for batching. aCallback must be called exactly once, within aBudget, from any
  /// thread; with Unreachable if no response arrived. Duplicate delivery is harmless.
  virtual void ForwardClaim(const std::string& aDaemon, const Claim& aClaim, Milliseconds aBudget,
                            ClaimCallback aCallback) = 0;

  /// Sends an outcome to a daemon for recording.
  /// @return false if delivery is already known to have failed; the caller then records the outcome itself
  [[nodiscard]] virtual bool ForwardOutcome(const std::string& aDaemon,
                                            const ClaimOutcome& aOutcome) = 0;
};

} // namespace lagoonward
