#include "Lagoonward/Daemon/PermitExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/LimitLoans.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// The message, a PermitRequest that is answered by a PermitReply; numbers above RequestType::FirstForeign are this
/// folder's.
constexpr auto kPermit =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 8);

/// Whether a request may be sent now.
bool
IsLeave(const PermitReply& aReply)
{
  return aReply.answer == PermitAnswer::Granted || aReply.answer == PermitAnswer::Unlimited;
}

/// What two keepers' answers come to.
PermitReply
Better(const PermitReply& aLeft, const PermitReply& aRight)
{
  if (aLeft.answer == PermitAnswer::Wait && aRight.answer == PermitAnswer::Wait) {
    return { PermitAnswer::Wait, std::min(aLeft.wait, aRight.wait) };
  }
  if (IsLeave(aLeft) || aRight.answer == PermitAnswer::NotKeeper) {
    return aLeft;
  }
  return aRight;
}

} // namespace

PermitExchange::PermitExchange(const KeeperQuerySettings& aSettings, KeeperDirectory& aKeepers,
                               MembershipService& aMembership, EndpointLimits& aLimits,
                               const Clock& aClock)
  : keepers(aKeepers)
  , book({}, aClock)
  , query(aSettings, kPermit, aKeepers, aMembership, aClock)
{
  aMembership.Transport().OnRequest(
    kPermit, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->Serve(aBytes));
    });
  aLimits.OnLifted(
    [this](const PermitRequest& aNews) { this->Ask(aNews, [](const PermitReply&) {}); });
}

std::string
PermitExchange::Serve(std::string_view aBytes)
{
  const auto request = DecodeMessage<PermitRequest>(aBytes);
  if (!request) {
    kLog.Warning("A daemon sent a malformed request for a permit.");
    return EncodeMessage(PermitReply{});
  }
  return EncodeMessage(this->Serve(request.value()));
}

PermitReply
PermitExchange::Serve(const PermitRequest& aRequest)
{
  return this->book.Serve(aRequest, ReserveRoleOf(this->keepers, aRequest.endpoint),
                          this->keepers.IsSettled(this->book.Takeover()));
}

void
PermitExchange::Ask(const PermitRequest& aRequest,
                    std::function<void(const PermitReply& aReply)> aAnswered)
{
  const KeeperRole role = this->keepers.RoleOf(aRequest.endpoint);
  if (role == KeeperRole::Primary && aRequest.wants) {
    aAnswered(this->Serve(aRequest));
    return;
  }
  const auto best = std::make_shared<PermitReply>();
  KeyOwnerRequest question;
  question.key = aRequest.endpoint;
  question.message = EncodeMessage(aRequest);
  question.onResponse = [best, wants = aRequest.wants](std::string_view aAnswer, bool /*aIsLate*/) {
    const auto reply = DecodeMessage<PermitReply>(aAnswer);
    if (!reply || reply.value().answer > PermitAnswer::Unlimited) {
      return KeyOwnerResponseStatus::Malformed;
    }
    *best = Better(*best, reply.value());
    // News are for all keepers
    return wants && IsLeave(*best) ? KeyOwnerResponseStatus::Completed
                                   : KeyOwnerResponseStatus::AskNext;
  };
  question.onCompleted = [this, best, request = aRequest, answered = std::move(aAnswered), role] {
    // News are for this daemon, too; its own part as the backup is for when the primary has none
    if (role != KeeperRole::None && (!request.wants || !IsLeave(*best))) {
      *best = Better(*best, this->Serve(request));
    }
    answered(*best);
  };
  this->query.Start(std::move(question));
}

} // namespace lagoonward
