#include "Lagoonward/Attempts/EngineStream.h"

#include "Lagoonward/Attempts/TokenEvent.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kErrorBodyBytes = 256;

/// A string field, or empty when it is missing or of another type.
std::string
StringField(const Json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  return field != aObject.end() && field->is_string() ? field->get<std::string>() : std::string();
}

/// An integer field, or -1 when it is missing or of another type.
std::int64_t
IntegerField(const Json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  return field != aObject.end() && field->is_number_integer() ? field->get<std::int64_t>() : -1;
}

} // namespace

std::string_view
ToString(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::NotSent:
      return "not sent";
    case AttemptFailure::Rejected:
      return "rejected";
    case AttemptFailure::NoSuchStream:
      return "no such stream";
    case AttemptFailure::Broken:
      return "broken";
    case AttemptFailure::Foreign:
      return "foreign";
    case AttemptFailure::Malformed:
      return "malformed";
  }
  return "broken";
}

EngineStream::EngineStream(TrafficLoop& aLoop, const EngineCall& aCall, EngineAttempt aAttempt,
                           Answer& aAnswer, std::size_t aMaximumEventBytes,
                           EngineStreamListener& aListener)
  : loop(aLoop)
  , call(aCall)
  , attempt(std::move(aAttempt))
  , answer(aAnswer)
  , listener(aListener)
  , reader(aMaximumEventBytes)
{
}

EngineStream::~EngineStream()
{
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
  }
}

void
EngineStream::Start()
{
  HttpTransferRequest request;
  request.method = "POST";
  request.url = this->attempt.baseUrl + "/v1/completions";
  request.headers = { "Content-Type: application/json", "Accept: text/event-stream" };
  request.body = this->MakeBody();
  request.freshConnection = this->attempt.freshConnection;
  this->transfer = this->loop.StartTransfer(request, *this);
}

std::string
EngineStream::MakeBody() const
{
  Json body{ { "request_id", this->call.requestId }, { "attempt_id", this->attempt.attemptId },
             { "model", this->call.model },          { "version", this->call.version },
             { "prompt", this->call.prompt },        { "max_tokens", this->call.maxTokens },
             { "priority", this->call.priority },    { "seed", this->call.seed } };
  if (!this->call.adapter.empty()) {
    body["adapter"] = this->call.adapter + "@" + this->call.adapterVersion;
  }
  const std::size_t count = this->answer.TokenCount();
  if (!this->attempt.resumeStream.empty()) {
    body["stream_id"] = this->attempt.resumeStream;
    body["from_token"] = count;
  } else if (count > 0) {
    Json& tokens = body["resume_tokens"] = Json::array();
    for (std::size_t index = 0; index < count; ++index) {
      tokens.push_back(this->answer.Token(index));
    }
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void
EngineStream::OnBytes(int aStatus, std::string_view aBytes)
{
  if (aStatus != kStatusOk) {
    const std::size_t room = kErrorBodyBytes - std::min(kErrorBodyBytes, this->errorBody.size());
    this->errorBody.append(aBytes.substr(0, room));
    return;
  }
  if (this->phase == Phase::Failed) {
    return;
  }
  const std::size_t before = this->answer.TokenCount();
  const bool wasOpening = this->phase == Phase::Opening;
  const bool usable =
    this->reader.Consume(aBytes, [&](const StreamEvent& aEvent) { this->TakeEvent(aEvent.data); });
  if (!usable && this->phase != Phase::Failed) {
    this->FailWith(AttemptFailure::Malformed, "an event was too large");
  }
  if (wasOpening && !this->streamId.empty()) {
    this->listener.OnStreamOpened(this->streamId);
  }
  const std::size_t added = this->answer.TokenCount() - before;
  if (added > 0) {
    this->answer.Publish();
  }
  this->listener.OnStreamProgress(added);
}

void
EngineStream::TakeEvent(std::string_view aData)
{
  if (this->phase == Phase::Failed) {
    return;
  }
  if (const auto token = ReadPlainToken(aData); token.has_value()) {
    this->TakeToken(token->index, token->text);
    return;
  }
  const Json event = Json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    this->FailWith(AttemptFailure::Malformed, "an event is not a JSON object");
    return;
  }
  // Whatever names another attempt is not this answer's; late and crossed answers show here
  const bool namesAttempt = event.contains("attempt_id");
  if (namesAttempt && StringField(event, "attempt_id") != this->attempt.attemptId) {
    this->FailWith(AttemptFailure::Foreign, "an event names another attempt");
    return;
  }
  // A token
  if (event.contains("index")) {
    const auto text = event.find("text");
    if (text == event.end() || !text->is_string()) {
      this->FailWith(AttemptFailure::Malformed, "a token has no text");
      return;
    }
    this->TakeToken(IntegerField(event, "index"), text->get_ref<const std::string&>());
    return;
  }
  // The first and the last event must name it
  if (!namesAttempt) {
    this->FailWith(AttemptFailure::Foreign, "an event names no attempt");
    return;
  }
  if (StringField(event, "model") != this->call.model ||
      StringField(event, "version") != this->call.version) {
    this->FailWith(AttemptFailure::Foreign, "the engine answered for another model or version");
    return;
  }
  if (this->phase == Phase::Opening) {
    this->streamId = StringField(event, "stream_id");
    this->phase = Phase::Tokens;
    return;
  }
  this->finishReason = StringField(event, "finish_reason");
  const bool whole =
    IntegerField(event, "token_count") == static_cast<std::int64_t>(this->answer.TokenCount());
  if (this->phase != Phase::Tokens || this->finishReason.empty() || !whole) {
    this->FailWith(AttemptFailure::Malformed, "the last event does not fit the tokens");
    return;
  }
  this->phase = Phase::Finished;
}

void
EngineStream::TakeToken(std::int64_t aIndex, std::string_view aText)
{
  const bool inOrder = aIndex == static_cast<std::int64_t>(this->answer.TokenCount());
  if (this->phase != Phase::Tokens || !inOrder) {
    this->FailWith(AttemptFailure::Malformed, "a token is out of order");
    return;
  }
  this->answer.Append(aText);
}

void
EngineStream::FailWith(AttemptFailure aFailure, std::string aMessage)
{
  this->phase = Phase::Failed;
  this->failure = aFailure;
  this->failureMessage = std::move(aMessage);
  // End the transfer soon; the listener must not be called from inside this one's callback chain
  this->loop.CancelTransfer(this->transfer);
  this->transfer = 0;
  this->loop.Post([this, alive = std::weak_ptr<bool>(this->alive)] {
    if (!alive.expired()) {
      this->listener.OnStreamFailed(this->failure, this->failureMessage);
    }
  });
}

void
EngineStream::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  if (this->phase == Phase::Finished) {
    this->listener.OnStreamFinished(this->finishReason);
    return;
  }
  const AttemptFailure kind = this->ClassifyEnd(aEnd);
  const std::string message = aEnd.outcome == TransferOutcome::Complete
                                ? fmt::format("status {}: {}", aEnd.status, this->errorBody)
                                : aEnd.message;
  this->listener.OnStreamFailed(kind, message);
}

AttemptFailure
EngineStream::ClassifyEnd(const TransferEnd& aEnd) const
{
  if (aEnd.outcome == TransferOutcome::NotSent) {
    return AttemptFailure::NotSent;
  }
  if (aEnd.outcome != TransferOutcome::Complete || aEnd.status == kStatusOk) {
    return AttemptFailure::Broken;
  }
  // Only a plain refusal proves that nothing ran; another server error may come after a start
  if (aEnd.status >= kStatusServerError && aEnd.status != kStatusUnavailable) {
    return AttemptFailure::Broken;
  }
  const bool isMissing = aEnd.status == kStatusNotFound && !this->attempt.resumeStream.empty();
  return isMissing ? AttemptFailure::NoSuchStream : AttemptFailure::Rejected;
}

} // namespace lagoonward
