#include "Lagoonward/Daemon/LimitTokenExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <cmath>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Type of the message, a TokenRequestMessage whose response is a TokenGrantReply; see PeerRequest.
constexpr auto kTokenRequest = ToRequestType(PeerRequest::LimitTokens);

/// The same for streams that are continued.
constexpr auto kContinuation = ToRequestType(PeerRequest::LimitContinuation);

/// The same for tokens that have been used already.
constexpr auto kOverdraft = ToRequestType(PeerRequest::LimitOverdraft);

struct TokenRequestMessage
{
  LimitTokenRequest request;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request.client, this->request.neededTokens, this->request.preferredTokens);
  }
};

struct TokenGrantReply
{
  LimitTokenGrant grant;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->grant.tokens, this->grant.retryAfterSeconds);
  }
};

/// Whether an amount of tokens or seconds is finite and not negative.
bool
IsPlausible(double aAmount)
{
  return std::isfinite(aAmount) && aAmount >= 0;
}

} // namespace

ReserveRole
ReserveRoleOf(KeyOwnerDirectory& aOwners, std::uint64_t aKey)
{
  switch (aOwners.RoleOf(aKey)) {
    case KeyOwnerRole::Primary:
      return ReserveRole::Primary;
    case KeyOwnerRole::Backup:
      return ReserveRole::Backup;
    case KeyOwnerRole::None:
      break;
  }
  return ReserveRole::None;
}

LimitTokenExchange::LimitTokenExchange(const KeyOwnerQuerySettings& aSettings,
                                       KeyOwnerDirectory& aOwners, MembershipService& aMembership,
                                       Admission& aAdmission, const Clock& aClock)
  : owners(aOwners)
  , admission(aAdmission)
  , query(aSettings, kTokenRequest, aOwners, aMembership, aClock)
  , continuationQuery(aSettings, kContinuation, aOwners, aMembership, aClock)
  , overdraftQuery(aSettings, kOverdraft, aOwners, aMembership, aClock)
{
  const std::pair<RequestType, LimitTokenUse> uses[] = {
    { kTokenRequest, LimitTokenUse::NewRequest },
    { kContinuation, LimitTokenUse::Continuation },
    { kOverdraft, LimitTokenUse::Overdraft },
  };
  for (const auto& [type, use] : uses) {
    aMembership.Transport().OnRequest(type,
                                      [this, use = use](PeerKey, std::string_view aBytes,
                                                        const PeerTransport::Responder& aRespond) {
                                        aRespond(this->HandleRequest(aBytes, use));
                                      });
  }
}

void
LimitTokenExchange::OnKeyOwnersChanged()
{
  this->admission.SetReserveRoles(
    [this](std::uint64_t aClient) { return ReserveRoleOf(this->owners, aClient); });
}

std::string
LimitTokenExchange::HandleRequest(std::string_view aBytes, LimitTokenUse aUse)
{
  auto message = DecodeMessage<TokenRequestMessage>(aBytes);
  const bool isValid = message.has_value() && IsPlausible(message.value().request.neededTokens) &&
                       IsPlausible(message.value().request.preferredTokens);
  if (!isValid) {
    kLog.Warning("Received a malformed token request from a peer; answers without a grant.");
    return EncodeMessage(TokenGrantReply{});
  }
  message.value().request.use = aUse;
  return EncodeMessage(TokenGrantReply{ this->admission.GrantTokens(message.value().request) });
}

void
LimitTokenExchange::RequestTokens(const LimitTokenRequest& aRequest, std::function<void()> aSettled)
{
  const bool isContinuation = aRequest.use == LimitTokenUse::Continuation;
  this->Send(isContinuation ? this->continuationQuery : this->query, aRequest, std::move(aSettled));
}

void
LimitTokenExchange::ReportOverdraft(const LimitTokenRequest& aRequest)
{
  this->Send(this->overdraftQuery, aRequest, [] {});
}

void
LimitTokenExchange::Send(KeyOwnerQuery& aQuery, const LimitTokenRequest& aRequest,
                         std::function<void()> aSettled)
{
  const auto progress = std::make_shared<Progress>();
  KeyOwnerRequest ownerRequest;
  ownerRequest.key = aRequest.client;
  ownerRequest.message = EncodeMessage(TokenRequestMessage{ aRequest });
  ownerRequest.onResponse = [this, progress, request = aRequest](std::string_view aResponse,
                                                                 bool aIsLate) {
    return this->HandleReply(request, *progress, aResponse, aIsLate);
  };
  ownerRequest.onCompleted = [this, progress, request = aRequest, settled = std::move(aSettled)] {
    if (!progress->isGranted && !progress->isRefused) {
      this->admission.OnTokenGrant(request, std::nullopt);
      kLog.Event(LogLevel::Warning, "loan_unanswered",
                 { { "account", request.account }, { "tokens", request.neededTokens } });
    }
    settled();
  };
  aQuery.Start(std::move(ownerRequest));
}

KeyOwnerResponseStatus
LimitTokenExchange::HandleReply(const LimitTokenRequest& aRequest, Progress& aProgress,
                                std::string_view aResponse, bool aIsLate)
{
  const auto reply = DecodeMessage<TokenGrantReply>(aResponse);
  const bool isValid = reply.has_value() && IsPlausible(reply.value().grant.tokens) &&
                       IsPlausible(reply.value().grant.retryAfterSeconds);
  if (!isValid) {
    return KeyOwnerResponseStatus::Malformed;
  }
  const LimitTokenGrant& grant = reply.value().grant;
  if (grant.tokens > 0) {
    aProgress.isGranted = true;
    this->admission.OnTokenGrant(aRequest, grant);
    return KeyOwnerResponseStatus::Completed;
  }
  // A wait of zero is no refusal: in its own membership view that daemon owns no reserve
  if (grant.retryAfterSeconds > 0 && !aIsLate) {
    aProgress.isRefused = true;
    this->admission.OnTokenGrant(aRequest, grant);
  }
  return KeyOwnerResponseStatus::AskNext;
}

} // namespace lagoonward
