#pragma once

#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/PermitSource.h"
#include "Lagoonward/Daemon/KeyOwnerQuery.h"

namespace lagoonward {

/// Asks the owners of an endpoint that states a rate limit for a permit before a request is sent there, and serves
/// permits for the endpoints that this daemon owns. A request to such an endpoint takes two messages, to any other
/// none.
class PermitExchange final : public PermitSource
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  PermitExchange(const KeyOwnerQuerySettings& aSettings, KeyOwnerDirectory& aOwners,
                 MembershipService& aMembership, EndpointLimits& aLimits, const Clock& aClock);

  void RequestPermit(const PermitRequest& aRequest,
                     std::function<void(const PermitReply& aReply)> aAnswered) override;

private:
  [[nodiscard]] PermitReply Serve(const PermitRequest& aRequest);
  [[nodiscard]] std::string Serve(std::string_view aBytes);

  KeyOwnerDirectory& owners;
  PermitLedger ledger;
  KeyOwnerQuery query;
};

} // namespace lagoonward
