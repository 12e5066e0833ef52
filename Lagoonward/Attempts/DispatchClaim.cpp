#include "Lagoonward/Attempts/DispatchClaim.h"

namespace lagoonward {

namespace {

/// Collects the ticket and the answer of a claim. The answer may arrive before Claim() returns the ticket.
struct PendingClaim
{
  std::mutex mutex;
  ClaimTicketPtr ticket;
  std::optional<ClaimAnswer> answer;

  /// Sets one of the two. Returns whether both are set now, which is true for exactly one caller.
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
DispatchClaim::Request(ClaimService& aClaims, const ClaimKey& aKey, std::uint64_t aBodyHash,
                       ClaimCallback aOnSettled)
{
  const auto pending = std::make_shared<PendingClaim>();
  const auto finish = [&aClaims, pending, onSettled = std::move(aOnSettled)] {
    const bool won = pending->answer->verdict == ClaimAnswer::Verdict::Won;
    onSettled(won ? std::make_shared<DispatchClaim>(aClaims, pending->ticket) : nullptr,
              *pending->answer);
  };
  ClaimTicketPtr ticket =
    aClaims.Claim(aKey, aBodyHash, [pending, finish](const ClaimAnswer& aAnswer) {
      if (pending->Complete([&] { pending->answer = aAnswer; })) {
        finish();
      }
    });
  if (pending->Complete([&] { pending->ticket = std::move(ticket); })) {
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
    this->claims.Withdraw(this->ticket);
    return;
  }
  this->claims.ReportOutcome(this->ticket, aRan);
}

} // namespace lagoonward
