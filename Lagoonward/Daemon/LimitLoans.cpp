#include "Lagoonward/Daemon/LimitLoans.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <cmath>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Type of the message, a LoanMessage whose response is a LoanReply; request types above
/// RequestType::FirstForeign belong to this folder.
constexpr auto kLoan =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 6);

struct LoanMessage
{
  LoanRequest request;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request.client, this->request.need, this->request.want);
  }
};

struct LoanReply
{
  Loan loan;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->loan.tokens, this->loan.wait);
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
ReserveRoleOf(KeeperDirectory& aOwners, std::uint64_t aKey)
{
  switch (aOwners.RoleOf(aKey)) {
    case KeeperRole::Primary:
      return ReserveRole::Primary;
    case KeeperRole::Backup:
      return ReserveRole::Backup;
    case KeeperRole::None:
      break;
  }
  return ReserveRole::None;
}

LimitLoans::LimitLoans(const KeeperQuerySettings& aSettings, KeeperDirectory& aOwners,
                       MembershipService& aMembership, Admission& aAdmission, const Clock& aClock)
  : owners(aOwners)
  , admission(aAdmission)
  , query(aSettings, kLoan, aOwners, aMembership, aClock)
{
  aMembership.Transport().OnRequest(
    kLoan, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->HandleRequest(aBytes));
    });
}

void
LimitLoans::OnKeepers()
{
  this->admission.SetReserves(
    [this](std::uint64_t aClient) { return ReserveRoleOf(this->owners, aClient); });
}

std::string
LimitLoans::HandleRequest(std::string_view aBytes)
{
  const auto message = DecodeMessage<LoanMessage>(aBytes);
  const bool isValid = message.has_value() && IsPlausible(message.value().request.need) &&
                       IsPlausible(message.value().request.want);
  if (!isValid) {
    kLog.Warning("Received a malformed loan request from a peer; answers without a loan.");
    return EncodeMessage(LoanReply{});
  }
  return EncodeMessage(LoanReply{ this->admission.Lend(message.value().request) });
}

void
LimitLoans::Borrow(const LoanRequest& aRequest, std::function<void()> aSettled)
{
  const auto progress = std::make_shared<Progress>();
  KeyOwnerRequest ownerRequest;
  ownerRequest.key = aRequest.client;
  ownerRequest.message = EncodeMessage(LoanMessage{ aRequest });
  ownerRequest.onResponse = [this, progress, request = aRequest](std::string_view aResponse,
                                                                 bool aIsLate) {
    return this->HandleReply(request, *progress, aResponse, aIsLate);
  };
  ownerRequest.onCompleted = [this, progress, request = aRequest, settled = std::move(aSettled)] {
    if (!progress->isLent && !progress->isRefused) {
      this->admission.OnLoan(request, std::nullopt);
      kLog.Event(LogLevel::Warning, "loan_unanswered",
                 { { "account", request.account }, { "tokens", request.need } });
    }
    settled();
  };
  this->query.Start(std::move(ownerRequest));
}

KeyOwnerResponseStatus
LimitLoans::HandleReply(const LoanRequest& aRequest, Progress& aProgress,
                        std::string_view aResponse, bool aIsLate)
{
  const auto reply = DecodeMessage<LoanReply>(aResponse);
  const bool isValid = reply.has_value() && IsPlausible(reply.value().loan.tokens) &&
                       IsPlausible(reply.value().loan.wait);
  if (!isValid) {
    return KeyOwnerResponseStatus::Malformed;
  }
  const Loan& loan = reply.value().loan;
  if (loan.tokens > 0) {
    aProgress.isLent = true;
    this->admission.OnLoan(aRequest, loan);
    return KeyOwnerResponseStatus::Completed;
  }
  // A wait of zero is no refusal: in its own membership view that daemon owns no reserve
  if (loan.wait > 0 && !aIsLate) {
    aProgress.isRefused = true;
    this->admission.OnLoan(aRequest, loan);
  }
  return KeyOwnerResponseStatus::AskNext;
}

} // namespace lagoonward
