#include "Lagoonward/Attempts/DispatchClaim.h"

namespace lagoonward {

namespace {

/// Waits for both the ticket and the answer, as the answer may come before Claim() returns.
struct Rendezvous
{
  std::mutex mutex;
  ClaimTicketPtr ticket;
  std::optional<ClaimAnswer> answer;

  /// Whether both have come; true for exactly one caller.
  template<typename Setter>
  bool Complete(Setter aSetter)
  {
    const std::scoped_lock lock(this->mutex);
    aSetter();
    return this->ticket != nullptr && this->answer.has_value();
  }
};

} // namespace

void
DispatchClaim::Ask(ClaimService& aClaims, const ClaimKey& aKey, std::uint64_t aBodyHash,
                   Settled aOnSettled)
{
  const auto meeting = std::make_shared<Rendezvous>();
  const auto finish = [&aClaims, meeting, settled = std::move(aOnSettled)] {
    const bool won = meeting->answer->verdict == ClaimAnswer::Verdict::Won;
    settled(won ? std::make_shared<DispatchClaim>(aClaims, meeting->ticket) : nullptr,
            *meeting->answer);
  };
  ClaimTicketPtr ticket =
    aClaims.Claim(aKey, aBodyHash, [meeting, finish](const ClaimAnswer& aAnswer) {
      if (meeting->Complete([&] { meeting->answer = aAnswer; })) {
        finish();
      }
    });
  if (meeting->Complete([&] { meeting->ticket = std::move(ticket); })) {
    finish();
  }
}

DispatchClaim::DispatchClaim(ClaimService& aClaims, ClaimTicketPtr aTicket)
  : claims(aClaims)
  , ticket(std::move(aTicket))
{
}

bool
DispatchClaim::BeginDispatch()
{
  const std::scoped_lock lock(this->mutex);
  if (!this->dispatched) {
    this->dispatched = this->claims.BeginDispatch(this->ticket);
  }
  return *this->dispatched;
}

void
DispatchClaim::Settle(Ran aRan)
{
  const std::scoped_lock lock(this->mutex);
  if (aRan == Ran::Unknown) {
    return;
  }
  if (aRan == Ran::No && !this->dispatched.value_or(false)) {
    this->claims.GiveUp(this->ticket);
    return;
  }
  this->claims.ReportOutcome(this->ticket, aRan);
}

} // namespace lagoonward
