#include "Lagoonward/Daemon/LimitLoans.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <cmath>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// The message, a LoanMessage that is answered by a LoanReply; numbers above RequestType::FirstForeign are this folder's.
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

/// Whether an amount of tokens or seconds can be reckoned with.
bool
IsPlausible(double aAmount)
{
  return std::isfinite(aAmount) && aAmount >= 0;
}

} // namespace

ReserveRole
ReserveRoleOf(KeeperDirectory& aKeepers, std::uint64_t aKey)
{
  switch (aKeepers.RoleOf(aKey)) {
    case KeeperRole::Primary:
      return ReserveRole::Primary;
    case KeeperRole::Backup:
      return ReserveRole::Backup;
    case KeeperRole::None:
      break;
  }
  return ReserveRole::None;
}

LimitLoans::LimitLoans(const KeeperQuerySettings& aSettings, KeeperDirectory& aKeepers,
                       MembershipService& aMembership, Admission& aAdmission, const Clock& aClock)
  : keepers(aKeepers)
  , admission(aAdmission)
  , query(aSettings, kLoan, aKeepers, aMembership, aClock)
{
  aMembership.Transport().OnRequest(
    kLoan, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->Serve(aBytes));
    });
}

void
LimitLoans::OnKeepers()
{
  this->admission.SetReserves(
    [this](std::uint64_t aClient) { return ReserveRoleOf(this->keepers, aClient); });
}

std::string
LimitLoans::Serve(std::string_view aBytes)
{
  const auto message = DecodeMessage<LoanMessage>(aBytes);
  const bool isGood = message.has_value() && IsPlausible(message.value().request.need) &&
                      IsPlausible(message.value().request.want);
  if (!isGood) {
    kLog.Warning("A daemon sent a malformed request for a loan.");
    return EncodeMessage(LoanReply{});
  }
  return EncodeMessage(LoanReply{ this->admission.Lend(message.value().request) });
}

void
LimitLoans::Borrow(const LoanRequest& aRequest, std::function<void()> aSettled)
{
  const auto progress = std::make_shared<Progress>();
  KeyOwnerRequest question;
  question.key = aRequest.client;
  question.message = EncodeMessage(LoanMessage{ aRequest });
  question.onResponse = [this, progress, request = aRequest](std::string_view aAnswer,
                                                             bool aIsLate) {
    return this->Take(request, *progress, aAnswer, aIsLate);
  };
  question.onCompleted = [this, progress, request = aRequest, settled = std::move(aSettled)] {
    if (!progress->isLent && !progress->isRefused) {
      this->admission.OnLoan(request, std::nullopt);
      kLog.Event(LogLevel::Warning, "loan_unanswered",
                 { { "account", request.account }, { "tokens", request.need } });
    }
    settled();
  };
  this->query.Start(std::move(question));
}

KeyOwnerResponseStatus
LimitLoans::Take(const LoanRequest& aRequest, Progress& aProgress, std::string_view aAnswer,
                 bool aIsLate)
{
  const auto reply = DecodeMessage<LoanReply>(aAnswer);
  const bool isGood = reply.has_value() && IsPlausible(reply.value().loan.tokens) &&
                      IsPlausible(reply.value().loan.wait);
  if (!isGood) {
    return KeyOwnerResponseStatus::Malformed;
  }
  const Loan& loan = reply.value().loan;
  if (loan.tokens > 0) {
    aProgress.isLent = true;
    this->admission.OnLoan(aRequest, loan);
    return KeyOwnerResponseStatus::Completed;
  }
  // Who keeps no reserve, as it sees the daemons, has not refused
  if (loan.wait > 0 && !aIsLate) {
    aProgress.isRefused = true;
    this->admission.OnLoan(aRequest, loan);
  }
  return KeyOwnerResponseStatus::AskNext;
}

} // namespace lagoonward
