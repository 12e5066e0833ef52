#include "Lagoonward/Daemon/LimitLoans.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>
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

LimitLoans::LimitLoans(const LimitLoanSettings& aSettings, KeeperDirectory& aKeepers,
                       MembershipService& aMembership, Admission& aAdmission, const Clock& aClock)
  : settings(aSettings)
  , keepers(aKeepers)
  , membership(aMembership)
  , admission(aAdmission)
  , clock(aClock)
{
  this->membership.Transport().OnRequest(
    kLoan, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      aRespond(this->Serve(aBytes));
    });
}

void
LimitLoans::OnKeepers()
{
  this->admission.SetReserves([this](std::uint64_t aClient) { return this->RoleOf(aClient); });
}

ReserveRole
LimitLoans::RoleOf(std::uint64_t aClient)
{
  switch (this->keepers.RoleOf(aClient)) {
    case KeeperRole::Primary:
      return ReserveRole::Primary;
    case KeeperRole::Backup:
      return ReserveRole::Backup;
    case KeeperRole::None:
      break;
  }
  return ReserveRole::None;
}

std::vector<PeerAddress>
LimitLoans::ReservesFor(std::uint64_t aClient)
{
  std::vector<PeerAddress> reserves = this->keepers.OthersFor(aClient);
  // They are asked from the back
  std::reverse(reserves.begin(), reserves.end());
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const auto isSilent = [&](const PeerAddress& aReserve) {
    const auto found = this->silentAt.find(aReserve.key);
    return found != this->silentAt.end() && now - found->second < this->settings.distrust;
  };
  std::stable_partition(reserves.begin(), reserves.end(), isSilent);
  return reserves;
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
  auto inquiry = std::make_shared<Inquiry>();
  inquiry->request = aRequest;
  inquiry->settled = std::move(aSettled);
  this->membership.Loop().Post([this, inquiry] {
    inquiry->left = this->ReservesFor(inquiry->request.client);
    this->AskNext(inquiry);
  });
}

void
LimitLoans::AskNext(const InquiryPtr& aInquiry)
{
  if (aInquiry->left.empty()) {
    if (!aInquiry->isRefused) {
      this->admission.OnLoan(aInquiry->request, std::nullopt);
      kLog.Event(
        LogLevel::Warning, "loan_unanswered",
        { { "account", aInquiry->request.account }, { "tokens", aInquiry->request.need } });
    }
    Settle(aInquiry);
    return;
  }
  const PeerAddress reserve = aInquiry->left.back();
  aInquiry->left.pop_back();
  const std::uint64_t asked = ++aInquiry->asked;
  this->membership.Transport().Request(
    reserve, kLoan, EncodeMessage(LoanMessage{ aInquiry->request }), this->settings.timeout,
    [this, aInquiry, asked, key = reserve.key](const Result<std::string>& aAnswer) {
      this->OnAnswer(aInquiry, asked, key, aAnswer);
    });
  this->membership.Loop().After(this->settings.patience, [this, aInquiry, asked, reserve] {
    if (!aInquiry->settled || aInquiry->asked != asked) {
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      this->silentAt[reserve.key] = this->clock.Now();
    }
    this->AskNext(aInquiry);
  });
}

void
LimitLoans::OnAnswer(const InquiryPtr& aInquiry, std::uint64_t aAsked, PeerKey aReserve,
                     const Result<std::string>& aAnswer)
{
  const auto reply =
    aAnswer ? DecodeMessage<LoanReply>(aAnswer.value()) : Result<LoanReply>(aAnswer.error());
  const bool isGood = reply.has_value() && IsPlausible(reply.value().loan.tokens) &&
                      IsPlausible(reply.value().loan.wait);
  {
    const std::lock_guard lock(this->mutex);
    if (isGood) {
      this->silentAt.erase(aReserve);
    } else {
      this->silentAt[aReserve] = this->clock.Now();
    }
  }
  const Loan loan = isGood ? reply.value().loan : Loan{};
  if (loan.tokens > 0) {
    this->admission.OnLoan(aInquiry->request, loan);
    Settle(aInquiry);
    return;
  }
  if (aInquiry->asked != aAsked || !aInquiry->settled) {
    return;
  }
  // Who keeps no reserve, as it sees the daemons, has not refused
  if (loan.wait > 0) {
    aInquiry->isRefused = true;
    this->admission.OnLoan(aInquiry->request, loan);
  }
  this->AskNext(aInquiry);
}

void
LimitLoans::Settle(const InquiryPtr& aInquiry)
{
  if (const auto settled = std::exchange(aInquiry->settled, nullptr)) {
    settled();
  }
}

} // namespace lagoonward
