#include "Lagoonward/Daemon/PeerClaimForwarder.h"

#include "Lagoonward/Daemon/PeerMessages.h"

namespace lagoonward {

namespace {

/// Request of one daemon to another to batch a claim or to record an outcome.
struct ClaimMessage
{
  bool isOutcome = false;
  ClaimKey key;
  RecordId id;
  std::uint64_t bodyHash = 0;
  std::uint8_t ran = 0;
  std::uint32_t budgetMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isOutcome, this->key.high, this->key.low, this->id.incarnation,
             this->id.sequence, this->bodyHash, this->ran, this->budgetMs);
  }
};

/// Response to a forwarded claim.
struct ClaimReply
{
  std::uint8_t verdict = 0;
  RecordId holder;
  std::uint64_t holderBodyHash = 0;
  std::uint8_t holderRan = 0;
  std::int64_t holderOffset = kNoOffset;
  bool maybeRecorded = false;
  std::uint32_t retryAfterMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->verdict, this->holder.incarnation, this->holder.sequence, this->holderBodyHash,
             this->holderRan, this->holderOffset, this->maybeRecorded, this->retryAfterMs);
  }
};

/// Longest wait for the receiver of an outcome. A lost message leaves the outcome "unknown".
constexpr Milliseconds kOutcomeTimeout{ 1000 };

Ran
ToRan(std::uint8_t aValue)
{
  return aValue <= static_cast<std::uint8_t>(Ran::Yes) ? static_cast<Ran>(aValue) : Ran::Unknown;
}

ClaimReply
ToReply(const ClaimAnswer& aAnswer)
{
  ClaimReply reply;
  reply.verdict = static_cast<std::uint8_t>(aAnswer.verdict);
  reply.holder = aAnswer.holder.id;
  reply.holderBodyHash = aAnswer.holder.bodyHash;
  reply.holderRan = static_cast<std::uint8_t>(aAnswer.holder.ran);
  reply.holderOffset = aAnswer.holder.offset;
  reply.maybeRecorded = aAnswer.maybeRecorded;
  reply.retryAfterMs = static_cast<std::uint32_t>(aAnswer.retryAfter.count());
  return reply;
}

/// Decodes a reply. A malformed reply counts as none.
ClaimAnswer
ToAnswer(const Result<std::string>& aBytes)
{
  ClaimAnswer answer;
  answer.verdict = ClaimAnswer::Verdict::Unreachable;
  answer.maybeRecorded = true;
  if (!aBytes) {
    // Without a connection nothing was recorded
    answer.maybeRecorded = aBytes.error().kind != ErrorKind::PlatformUnavailable;
    return answer;
  }
  const auto reply = DecodePeerMessage<ClaimReply>(aBytes.value());
  if (!reply || reply->verdict > static_cast<std::uint8_t>(ClaimAnswer::Verdict::Unreachable)) {
    return answer;
  }
  answer.verdict = static_cast<ClaimAnswer::Verdict>(reply->verdict);
  answer.holder = { reply->holder, reply->holderBodyHash, ToRan(reply->holderRan),
                    reply->holderOffset };
  answer.maybeRecorded = reply->maybeRecorded;
  answer.retryAfter = Milliseconds(reply->retryAfterMs);
  return answer;
}

} // namespace

PeerClaimForwarder::PeerClaimForwarder(MembershipService& aMembership)
  : membership(aMembership)
{
}

void
PeerClaimForwarder::Serve(ClaimService& aClaims)
{
  this->claims = &aClaims;
  this->membership.Transport().OnRequest(
    RequestType::Claim,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      const auto message = DecodePeerMessage<ClaimMessage>(aBytes);
      if (!message) {
        aRespond(Error(ErrorKind::InvalidRequest, "The forwarded claim is malformed."));
        return;
      }
      if (message->isOutcome) {
        this->claims->ReceiveOutcome({ message->key, message->id, ToRan(message->ran) });
        aRespond(std::string());
        return;
      }
      this->claims->Receive(
        { message->key, message->bodyHash, message->id }, Milliseconds(message->budgetMs),
        [aRespond](const ClaimAnswer& aAnswer) { aRespond(EncodePeerMessage(ToReply(aAnswer))); });
    });
}

void
PeerClaimForwarder::ForwardClaim(const std::string& aDaemon, const lagoonward::Claim& aClaim,
                                 Milliseconds aBudget, ClaimCallback aCallback)
{
  ClaimMessage message;
  message.key = aClaim.key;
  message.id = aClaim.id;
  message.bodyHash = aClaim.bodyHash;
  message.budgetMs = static_cast<std::uint32_t>(aBudget.count());
  const auto address = this->membership.AddressOf(ToPeerKey(aDaemon));
  if (!address) {
    aCallback(ToAnswer(Error(ErrorKind::PlatformUnavailable,
                             "The daemon that batches the claim is not a known peer.")));
    return;
  }
  this->membership.Loop().Post([this, address = *address, bytes = EncodePeerMessage(message),
                                aBudget, callback = std::move(aCallback)] {
    this->membership.Transport().Request(
      address, RequestType::Claim, bytes, aBudget,
      [callback](const Result<std::string>& aBytes) { callback(ToAnswer(aBytes)); });
  });
}

bool
PeerClaimForwarder::ForwardOutcome(const std::string& aDaemon, const ClaimOutcome& aOutcome)
{
  const auto address = this->membership.AddressOf(ToPeerKey(aDaemon));
  if (!address) {
    return false;
  }
  ClaimMessage message;
  message.isOutcome = true;
  message.key = aOutcome.key;
  message.id = aOutcome.id;
  message.ran = static_cast<std::uint8_t>(aOutcome.ran);
  this->membership.Loop().Post([this, address = *address, bytes = EncodePeerMessage(message)] {
    this->membership.Transport().Request(address, RequestType::Claim, bytes, kOutcomeTimeout,
                                         [](const Result<std::string>&) {});
  });
  return true;
}

} // namespace lagoonward
