#pragma once

#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/PermitLender.h"
#include "Lagoonward/Daemon/KeeperQuery.h"

namespace lagoonward {

/// Asks the owners of an endpoint that states a rate limit for a permit before a request is sent there, and serves
/// permits for the endpoints that this daemon owns. A request to such an endpoint takes two messages, to any other
/// none.
class PermitExchange final : public PermitLender
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  PermitExchange(const KeeperQuerySettings& aSettings, KeeperDirectory& aOwners,
                 MembershipService& aMembership, EndpointLimits& aLimits, const Clock& aClock);

  void Ask(const PermitRequest& aRequest,
           std::function<void(const PermitReply& aReply)> aAnswered) override;

private:
  [[nodiscard]] PermitReply Serve(const PermitRequest& aRequest);
  [[nodiscard]] std::string Serve(std::string_view aBytes);

  KeeperDirectory& owners;
  PermitBook ledger;
  KeeperQuery query;
};

} // namespace lagoonward
