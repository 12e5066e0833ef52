#include "Lagoonward/Daemon/PeerRequestDirectory.h"

#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Type of the request to read an answer.
constexpr auto kReadAnswer = ToRequestType(PeerRequest::ReadAnswer);

struct QueryMessage
{
  std::string key;
  std::uint64_t bodyHash = 0;
  std::uint64_t fromToken = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->key, this->bodyHash, this->fromToken);
  }
};

struct AnswerPartMessage
{
  bool isKnown = false;
  bool isConflict = false;
  std::vector<std::string> tokens;
  bool ended = false;
  bool failed = false;
  std::uint16_t errorKind = 0;
  std::string errorMessage;
  std::uint8_t errorRan = 0;
  std::string finishReason;
  std::int32_t status = 0;
  std::string contentType;
  std::string body;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isKnown, this->isConflict, this->tokens, this->ended, this->failed,
             this->errorKind, this->errorMessage, this->errorRan, this->finishReason, this->status,
             this->contentType, this->body);
  }
};

AnswerPartMessage
ToMessage(const AnswerPart& aPart)
{
  AnswerPartMessage message;
  message.isKnown = aPart.isKnown;
  message.isConflict = aPart.isConflict;
  message.tokens = aPart.tokens;
  message.ended = aPart.ended;
  message.finishReason = aPart.finishReason;
  message.status = aPart.reply.status;
  message.contentType = aPart.reply.contentType;
  message.body = aPart.reply.body;
  if (aPart.failure) {
    message.failed = true;
    message.errorKind = static_cast<std::uint16_t>(aPart.failure->kind);
    message.errorMessage = aPart.failure->message;
    message.errorRan = static_cast<std::uint8_t>(aPart.failure->ran);
  }
  return message;
}

/// The error in a message. Unknown error kinds become Internal, unknown Ran values become Unknown.
Error
ToFailure(const AnswerPartMessage& aMessage)
{
  const bool isKnownKind = aMessage.errorKind <= static_cast<std::uint16_t>(ErrorKind::Internal);
  const bool isKnownRan = aMessage.errorRan <= static_cast<std::uint8_t>(Ran::Yes);
  return { isKnownKind ? static_cast<ErrorKind>(aMessage.errorKind) : ErrorKind::Internal,
           aMessage.errorMessage, isKnownRan ? static_cast<Ran>(aMessage.errorRan) : Ran::Unknown };
}

Result<AnswerPart>
ToPart(const Result<std::string>& aBytes)
{
  if (!aBytes) {
    return aBytes.error();
  }
  auto message = DecodePeerMessage<AnswerPartMessage>(aBytes.value());
  if (!message) {
    return Error(ErrorKind::EndpointFailed,
                 "The response of the daemon that serves the request is malformed.");
  }
  AnswerPart part;
  part.isKnown = message->isKnown;
  part.isConflict = message->isConflict;
  part.tokens = std::move(message->tokens);
  part.ended = message->ended;
  if (message->failed) {
    part.failure = ToFailure(*message);
  }
  part.finishReason = std::move(message->finishReason);
  part.reply = { message->status, std::move(message->contentType), std::move(message->body) };
  return part;
}

} // namespace

PeerRequestDirectory::PeerRequestDirectory(const PeerRequestDirectorySettings& aSettings,
                                           MembershipService& aMembership, const FleetStore& aFleet,
                                           const std::string& aOwnId)
  : settings(aSettings)
  , membership(aMembership)
  , fleet(aFleet)
  , ownKey(ToPeerKey(aOwnId))
{
}

void
PeerRequestDirectory::Serve(RunService& aRuns)
{
  this->runs = &aRuns;
  this->membership.Transport().OnRequest(
    kReadAnswer,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      const auto query = DecodePeerMessage<QueryMessage>(aBytes);
      if (!query) {
        aRespond(Error(ErrorKind::InvalidRequest, "The query for an answer is malformed."));
        return;
      }
      const AnswerQuery answerQuery{ query->key, query->bodyHash,
                                     static_cast<std::size_t>(query->fromToken) };
      const AnswerPart part = this->runs->ReadAnswer(answerQuery, this->settings.maximumPartTokens);
      aRespond(EncodePeerMessage(ToMessage(part)));
    });
}

void
PeerRequestDirectory::PublishLocation(const RequestLocation& aPlace)
{
  SoftRecord record;
  record.keyHash = HashBytes(aPlace.key);
  record.bodyHash = aPlace.bodyHash;
  record.server = this->ownKey;
  record.endpoint = ToEndpointKey(aPlace.endpointId);
  record.streamId = aPlace.streamId;
  record.revision = aPlace.revision;
  record.expiresIn = static_cast<std::uint32_t>(aPlace.lifetime.count());
  record.finished = aPlace.finished;
  this->membership.PlaceRecord(std::move(record));
}

void
PeerRequestDirectory::Find(const std::string& aKey, FindCallback aFound)
{
  // The search or its timeout completes the call, whichever comes first. Both run on the control thread
  const auto pending = std::make_shared<FindCallback>(std::move(aFound));
  const auto complete = [pending](std::optional<RemoteRequest> aRequest) {
    if (*pending) {
      const FindCallback found = std::move(*pending);
      *pending = nullptr;
      found(std::move(aRequest));
    }
  };
  this->membership.Loop().Post([this, complete, keyHash = HashBytes(aKey)] {
    this->membership.Loop().After(this->settings.searchTimeout,
                                  [complete] { complete(std::nullopt); });
    this->membership.FindRecord(
      keyHash, [this, complete](const std::optional<SoftRecord>& aRecord) {
        complete(aRecord ? std::optional(this->ToFoundRequest(*aRecord)) : std::nullopt);
      });
  });
}

void
PeerRequestDirectory::Read(std::uint64_t aServer, const AnswerQuery& aQuery, ReadCallback aPart)
{
  const auto address = this->membership.AddressOf(aServer);
  if (!address) {
    aPart(Error(ErrorKind::PlatformUnavailable,
                "The daemon that serves the request is not a known peer any more."));
    return;
  }
  QueryMessage message;
  message.key = aQuery.key;
  message.bodyHash = aQuery.bodyHash;
  message.fromToken = aQuery.fromToken;
  this->membership.Loop().Post(
    [this, address = *address, bytes = EncodePeerMessage(message), part = std::move(aPart)] {
      this->membership.Transport().Request(
        address, kReadAnswer, bytes, this->settings.readTimeout,
        [part](const Result<std::string>& aBytes) { part(ToPart(aBytes)); });
    });
}

RemoteRequest
PeerRequestDirectory::ToFoundRequest(const SoftRecord& aRecord) const
{
  RemoteRequest found;
  found.server = aRecord.server;
  found.bodyHash = aRecord.bodyHash;
  found.streamId = aRecord.streamId;
  // A record that names this daemon itself is from before its restart
  found.isServerAlive =
    aRecord.server != this->ownKey && this->membership.AddressOf(aRecord.server).has_value();
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  for (const Endpoint& endpoint : snapshot->endpoints) {
    if (ToEndpointKey(endpoint.id) == aRecord.endpoint) {
      found.endpointId = endpoint.id;
    }
  }
  return found;
}

} // namespace lagoonward
