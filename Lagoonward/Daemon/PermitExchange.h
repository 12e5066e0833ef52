#pragma once

#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/PermitLender.h"
#include "Lagoonward/Daemon/KeeperQuery.h"

namespace lagoonward {

/// Asks the keepers of an endpoint that names a limit before a request is sent there, and answers for the endpoints that
/// this daemon keeps. Two messages for a request to such an endpoint, none for any other.
class PermitExchange final : public PermitLender
{
public:
  /// Must be made before the membership starts; references must outlive it.
  PermitExchange(const KeeperQuerySettings& aSettings, KeeperDirectory& aKeepers,
                 MembershipService& aMembership, EndpointLimits& aLimits, const Clock& aClock);

  void Ask(const PermitRequest& aRequest,
           std::function<void(const PermitReply& aReply)> aAnswered) override;

private:
  [[nodiscard]] PermitReply Serve(const PermitRequest& aRequest);
  [[nodiscard]] std::string Serve(std::string_view aBytes);

  KeeperDirectory& keepers;
  PermitBook book;
  KeeperQuery query;
};

} // namespace lagoonward
