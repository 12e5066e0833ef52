#include "Lagoonward/Attempts/RemoteAnswer.h"

namespace lagoonward {

RemoteAnswer::RemoteAnswer(TrafficLoop& aLoop, RequestDirectory& aDirectory,
                           const AttemptSettings& aSettings, std::uint64_t aServer,
                           AnswerQuery aQuery, AnswerPtr aAnswer, std::function<void(End)> aOnEnd)
  : loop(aLoop)
  , directory(aDirectory)
  , settings(aSettings)
  , server(aServer)
  , query(std::move(aQuery))
  , answer(std::move(aAnswer))
  , onEnd(std::move(aOnEnd))
{
}

void
RemoteAnswer::Start()
{
  this->ReadNext();
}

void
RemoteAnswer::ReadNext()
{
  this->query.fromToken = this->answer->TokenCount();
  this->directory.Read(
    this->server, this->query, [self = this->shared_from_this()](Result<AnswerPart> aPart) {
      self->loop.Post([self, part = std::move(aPart)] { self->HandlePart(part); });
    });
}

void
RemoteAnswer::HandlePart(const Result<AnswerPart>& aPart)
{
  if (!aPart || !aPart.value().isKnown) {
    this->onEnd(End::Lost);
    return;
  }
  const AnswerPart& part = aPart.value();
  if (part.isConflict) {
    this->onEnd(End::Conflict);
    return;
  }
  for (const std::string& token : part.tokens) {
    this->answer->Append(token);
  }
  if (!part.tokens.empty()) {
    this->answer->Publish();
  }
  if (!part.ended) {
    this->loop.RunAfter(this->settings.remoteReadInterval,
                        [self = this->shared_from_this()] { self->ReadNext(); });
    return;
  }
  if (part.failure) {
    this->answer->Fail(*part.failure);
  } else if (part.reply.status != 0) {
    this->answer->FinishService(part.reply);
  } else {
    this->answer->Finish(part.finishReason);
  }
  this->onEnd(End::Complete);
}

} // namespace lagoonward
