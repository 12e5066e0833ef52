#include "Lagoonward/Attempts/EngineStream.h"

#include "Lagoonward/Attempts/TokenEvent.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

/// Finish reason of a stream that did not come to its own end.
constexpr std::string_view kCancelled = "cancelled";

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kErrorBodyBytes = 256;

/// The value of a string field; empty if it is missing or has another type.
std::string
StringField(const Json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  return field != aObject.end() && field->is_string() ? field->get<std::string>() : std::string();
}

/// The value of an integer field; -1 if it is missing or has another type.
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
    case AttemptFailure::Cancelled:
      return "cancelled";
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
  if (!this->attempt.resumeStreamId.empty()) {
    body["stream_id"] = this->attempt.resumeStreamId;
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
    const std::size_t remaining =
      kErrorBodyBytes - std::min(kErrorBodyBytes, this->errorBody.size());
    this->errorBody.append(aBytes.substr(0, remaining));
    return;
  }
  if (this->phase == Phase::Failed) {
    return;
  }
  const std::size_t before = this->answer.TokenCount();
  const bool wasOpening = this->phase == Phase::Opening;
  const bool withinLimit = this->reader.Consume(
    aBytes, [&](const StreamEvent& aEvent) { this->HandleEvent(aEvent.data); });
  if (!withinLimit && this->phase != Phase::Failed) {
    this->FailWith(AttemptFailure::Malformed, "an event exceeds the size limit");
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
EngineStream::HandleEvent(std::string_view aData)
{
  if (this->phase == Phase::Failed) {
    return;
  }
  if (const auto token = ParsePlainToken(aData); token.has_value()) {
    this->HandleToken(token->index, token->text);
    return;
  }
  const Json event = Json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    this->FailWith(AttemptFailure::Malformed, "an event is not a JSON object");
    return;
  }
  // An event of another attempt must not reach this answer. This detects late and interchanged responses.
  const bool namesAttempt = event.contains("attempt_id");
  if (namesAttempt && StringField(event, "attempt_id") != this->attempt.attemptId) {
    this->FailWith(AttemptFailure::Foreign, "an event belongs to another attempt");
    return;
  }
  // A token event that ParsePlainToken() did not parse
  if (event.contains("index")) {
    const auto text = event.find("text");
    if (text == event.end() || !text->is_string()) {
      this->FailWith(AttemptFailure::Malformed, "a token event has no text");
      return;
    }
    this->HandleToken(IntegerField(event, "index"), text->get_ref<const std::string&>());
    return;
  }
  // The first and the last event must name the attempt
  if (!namesAttempt) {
    this->FailWith(AttemptFailure::Foreign, "the first or last event names no attempt");
    return;
  }
  if (StringField(event, "model") != this->call.model ||
      StringField(event, "version") != this->call.version) {
    this->FailWith(AttemptFailure::Foreign,
                   "the first or last event names another model or version");
    return;
  }
  if (this->phase == Phase::Opening) {
    this->streamId = StringField(event, "stream_id");
    this->phase = Phase::Tokens;
    return;
  }
  this->finishReason = StringField(event, "finish_reason");
  const bool countMatches =
    IntegerField(event, "token_count") == static_cast<std::int64_t>(this->answer.TokenCount());
  if (this->phase != Phase::Tokens || this->finishReason.empty() || !countMatches) {
    this->FailWith(AttemptFailure::Malformed,
                   "the last event is unexpected, has no finish reason or has a wrong token count");
    return;
  }
  if (this->finishReason == kCancelled) {
    this->FailWith(AttemptFailure::Cancelled, "the engine ended the stream as cancelled");
    return;
  }
  this->phase = Phase::Finished;
}

void
EngineStream::HandleToken(std::int64_t aIndex, std::string_view aText)
{
  if (aIndex >= this->call.maxTokens) {
    this->FailWith(AttemptFailure::Malformed, "there are more tokens than were requested");
    return;
  }
  const bool inOrder = aIndex == static_cast<std::int64_t>(this->answer.TokenCount());
  if (this->phase != Phase::Tokens || !inOrder) {
    this->FailWith(AttemptFailure::Malformed, "a token event is out of order");
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
  // The listener may destroy this object, so it is called from a posted task, not from within the transfer's callback
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
  // Of the server errors only 503 proves that nothing ran; any other may follow after the engine has started the
  // request
  if (aEnd.status >= kStatusServerError && aEnd.status != kStatusUnavailable) {
    return AttemptFailure::Broken;
  }
  const bool isMissing = aEnd.status == kStatusNotFound && !this->attempt.resumeStreamId.empty();
  return isMissing ? AttemptFailure::NoSuchStream : AttemptFailure::Rejected;
}

} // namespace lagoonward
