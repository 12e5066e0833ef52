#pragma once

#include "Lagoonward/Claims/ClaimService.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Carries claims and outcomes over the peers' transport to the daemons that batch them, and takes
/// those of others in.
class PeerClaimForwarder final : public ClaimForwarder
{
public:
  /// Must be made before the membership starts.
  explicit PeerClaimForwarder(MembershipService& aMembership);

  /// Serves other daemons' claims from here on. Before the membership starts.
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
