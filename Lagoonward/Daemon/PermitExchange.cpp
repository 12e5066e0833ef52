#include "Lagoonward/Daemon/PermitExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/LimitTokenExchange.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Type of the message, a PermitRequest whose response is a PermitReply; see PeerRequest.
constexpr auto kPermit = ToRequestType(PeerRequest::EndpointPermit);

/// Whether the reply allows the request to be sent now.
bool
IsPermitted(const PermitReply& aReply)
{
  return aReply.answer == PermitAnswer::Granted || aReply.answer == PermitAnswer::Unlimited;
}

/// Combines the replies of two owners.
PermitReply
CombineReplies(const PermitReply& aLeft, const PermitReply& aRight)
{
  if (aLeft.answer == PermitAnswer::Wait && aRight.answer == PermitAnswer::Wait) {
    return { PermitAnswer::Wait, std::min(aLeft.retryAfterMs, aRight.retryAfterMs) };
  }
  if (IsPermitted(aLeft) || aRight.answer == PermitAnswer::NotOwner) {
    return aLeft;
  }
  return aRight;
}

} // namespace

PermitExchange::PermitExchange(const KeyOwnerQuerySettings& aSettings, KeyOwnerDirectory& aOwners,
                               MembershipService& aMembership, EndpointLimits& aLimits,
                               const Clock& aClock)
  : owners(aOwners)
  , ledger({}, aClock)
  , query(aSettings, kPermit, aOwners, aMembership, aClock)
{
  aMembership.Transport().OnRequest(
    kPermit, [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->Serve(aBytes));
    });
  aLimits.SetLimitLiftedListener([this](const PermitRequest& aUpdate) {
    this->RequestPermit(aUpdate, [](const PermitReply&) {});
  });
}

std::string
PermitExchange::Serve(std::string_view aBytes)
{
  const auto request = DecodeMessage<PermitRequest>(aBytes);
  if (!request) {
    kLog.Warning("Received a malformed permit request from a peer; answers as a daemon that does "
                 "not own the endpoint.");
    return EncodeMessage(PermitReply{});
  }
  return EncodeMessage(this->Serve(request.value()));
}

PermitReply
PermitExchange::Serve(const PermitRequest& aRequest)
{
  return this->ledger.Serve(aRequest, ReserveRoleOf(this->owners, aRequest.endpoint),
                            this->owners.IsStableFor(this->ledger.TakeoverDelay()));
}

void
PermitExchange::RequestPermit(const PermitRequest& aRequest,
                              std::function<void(const PermitReply& aReply)> aAnswered)
{
  const KeyOwnerRole role = this->owners.RoleOf(aRequest.endpoint);
  if (role == KeyOwnerRole::Primary && aRequest.wantsPermit) {
    aAnswered(this->Serve(aRequest));
    return;
  }
  const auto combined = std::make_shared<PermitReply>();
  KeyOwnerRequest ownerRequest;
  ownerRequest.key = aRequest.endpoint;
  ownerRequest.message = EncodeMessage(aRequest);
  ownerRequest.onResponse = [combined, wants = aRequest.wantsPermit](std::string_view aResponse,
                                                                     bool /*aIsLate*/) {
    const auto reply = DecodeMessage<PermitReply>(aResponse);
    if (!reply || reply.value().answer > PermitAnswer::Unlimited) {
      return KeyOwnerResponseStatus::Malformed;
    }
    *combined = CombineReplies(*combined, reply.value());
    // An update, which wants no permit, goes to all owners
    return wants && IsPermitted(*combined) ? KeyOwnerResponseStatus::Completed
                                           : KeyOwnerResponseStatus::AskNext;
  };
  ownerRequest.onCompleted = [this, combined, request = aRequest, answered = std::move(aAnswered),
                              role] {
    // An update applies to this daemon, too. As the backup it grants from its own share only where the primary does not
    if (role != KeyOwnerRole::None && (!request.wantsPermit || !IsPermitted(*combined))) {
      *combined = CombineReplies(*combined, this->Serve(request));
    }
    answered(*combined);
  };
  this->query.Start(std::move(ownerRequest));
}

} // namespace lagoonward
