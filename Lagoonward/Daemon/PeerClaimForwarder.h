#pragma once

#include "Lagoonward/Claims/ClaimService.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Forwards claims and outcomes over the peer transport to the daemons that batch them, and handles those that other
/// daemons forward to this one.
class PeerClaimForwarder final : public ClaimForwarder
{
public:
  /// Must be constructed before the membership starts.
  explicit PeerClaimForwarder(MembershipService& aMembership);

  /// Starts to handle the claims of other daemons. Must be called before the membership starts.
  void Serve(ClaimService& aClaims);

  void ForwardClaim(const std::string& aDaemon, const lagoonward::Claim& aClaim,
                    Milliseconds aBudget, ClaimCallback aCallback) override;
  [[nodiscard]] bool ForwardOutcome(const std::string& aDaemon,
                                    const ClaimOutcome& aOutcome) override;

private:
  MembershipService& membership;
  ClaimService* claims = nullptr;
};

} // namespace lagoonward
