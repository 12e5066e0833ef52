#include "Lagoonward/Frontend/AnswerWriters.h"

#include "Lagoonward/Core/JsonText.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr std::string_view kRequestIdHeader = "Lagoonward-Request-Id";

/// Serializes to JSON; bytes that are not valid UTF-8 become replacement characters.
std::string
Dump(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
ObjectId(const AnswerFormat& aFormat, const Answer& aAnswer)
{
  return (aFormat.chat ? "chatcmpl-" : "cmpl-") + aAnswer.RequestId();
}

/// Makes the headers that every response to a caller has.
std::vector<HttpHeader>
MakeHeaders(std::string_view aContentType, std::string_view aRequestId)
{
  std::vector<HttpHeader> headers{ { "Content-Type", std::string(aContentType) } };
  if (!aRequestId.empty()) {
    headers.emplace_back(kRequestIdHeader, aRequestId);
  }
  return headers;
}

} // namespace

void
RespondWithError(HttpExchange& aExchange, const Error& aError, std::string_view aRequestId)
{
  const ErrorRule& rule = GetErrorRule(aError.kind);
  std::vector<HttpHeader> headers = MakeHeaders("application/json", aRequestId);
  if (rule.sendsRetryAfter) {
    const auto delay = aError.retryAfter.value_or(Milliseconds(1000));
    headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(
                                          1, std::chrono::ceil<Seconds>(delay).count())));
  }
  aExchange.Respond(rule.httpStatus, std::move(headers), aError.ToJson());
}

JsonAnswerWriter::JsonAnswerWriter(HttpExchangePtr aExchange, const AnswerFormat& aFormat)
  : exchange(std::move(aExchange))
  , format(aFormat)
{
}

void
JsonAnswerWriter::OnChanged(const Answer& aAnswer)
{
  if (!aAnswer.Ended()) {
    return;
  }
  if (aAnswer.Failure().has_value()) {
    RespondWithError(*this->exchange, *aAnswer.Failure(), aAnswer.RequestId());
    return;
  }
  Json choice{ { "index", 0 },
               { "finish_reason", aAnswer.FinishReason() },
               { "logprobs", nullptr } };
  if (this->format.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aAnswer.Text() } };
  } else {
    choice["text"] = aAnswer.Text();
  }
  const Json body{ { "id", ObjectId(this->format, aAnswer) },
                   { "object", this->format.chat ? "chat.completion" : "text_completion" },
                   { "created", aAnswer.Created() },
                   { "model", aAnswer.Model() },
                   { "choices", Json::array({ std::move(choice) }) },
                   { "usage", { { "completion_tokens", aAnswer.TokenCount() } } } };
  this->exchange->Respond(kStatusOk, MakeHeaders("application/json", aAnswer.RequestId()),
                          Dump(body));
}

bool
JsonAnswerWriter::IsDisconnected()
{
  return this->exchange->IsCallerDisconnected();
}

EventAnswerWriter::EventAnswerWriter(HttpExchangePtr aExchange, const AnswerFormat& aFormat)
  : exchange(std::move(aExchange))
  , format(aFormat)
  , nextToken(aFormat.fromToken.value_or(0))
{
}

void
EventAnswerWriter::OnChanged(const Answer& aAnswer)
{
  if (this->disconnected) {
    return;
  }
  if (!this->streamStarted && aAnswer.Failure().has_value() && aAnswer.TokenCount() == 0) {
    RespondWithError(*this->exchange, *aAnswer.Failure(), aAnswer.RequestId());
    return;
  }
  if (aAnswer.TokenCount() <= this->nextToken && !aAnswer.Ended()) {
    return;
  }
  if (!this->streamStarted) {
    this->BeginStream(aAnswer);
  }
  this->buffer.clear();
  for (; this->nextToken < aAnswer.TokenCount(); ++this->nextToken) {
    this->WriteToken(aAnswer, this->nextToken);
  }
  if (aAnswer.Ended()) {
    this->WriteEnd(aAnswer);
  }
  this->disconnected = !this->exchange->Write(this->buffer);
  if (this->disconnected) {
    // Tokens are missing, which a caller that only reads too slowly has to notice
    this->exchange->AbortStream();
  } else if (aAnswer.Ended()) {
    this->exchange->EndStream();
  }
}

bool
EventAnswerWriter::IsDisconnected()
{
  return this->disconnected || this->exchange->IsCallerDisconnected();
}

void
EventAnswerWriter::BeginStream(const Answer& aAnswer)
{
  this->streamStarted = true;
  auto headers = MakeHeaders("text/event-stream", aAnswer.RequestId());
  headers.emplace_back("Cache-Control", "no-cache");
  this->exchange->BeginStream(kStatusOk, std::move(headers));
  // The events of all tokens differ only in id and text, so the rest is formatted once
  this->eventPrefix =
    fmt::format(R"({{"id":{},"object":"{}","created":{},"model":{},"choices":[{{"index":0,{})",
                Dump(ObjectId(this->format, aAnswer)),
                this->format.chat ? "chat.completion.chunk" : "text_completion", aAnswer.Created(),
                Dump(aAnswer.Model()), this->format.chat ? R"("delta":{"content":)" : R"("text":)");
  this->eventSuffix =
    this->format.chat ? R"(},"finish_reason":null}]})" : R"(,"finish_reason":null}]})";
}

void
EventAnswerWriter::WriteToken(const Answer& aAnswer, std::size_t aIndex)
{
  fmt::format_to(std::back_inserter(this->buffer), "id: {}\ndata: ", aIndex);
  this->buffer += this->eventPrefix;
  AppendJsonText(this->buffer, aAnswer.Token(aIndex));
  this->buffer += this->eventSuffix;
  this->buffer += "\n\n";
}

void
EventAnswerWriter::WriteEnd(const Answer& aAnswer)
{
  if (aAnswer.Failure().has_value()) {
    this->buffer += "event: error\ndata: " + aAnswer.Failure()->ToJson() + "\n\n";
    return;
  }
  Json choice{ { "index", 0 }, { "finish_reason", aAnswer.FinishReason() } };
  if (this->format.chat) {
    choice["delta"] = Json::object();
  } else {
    choice["text"] = "";
  }
  const Json last{ { "id", ObjectId(this->format, aAnswer) },
                   { "object", this->format.chat ? "chat.completion.chunk" : "text_completion" },
                   { "created", aAnswer.Created() },
                   { "model", aAnswer.Model() },
                   { "choices", Json::array({ std::move(choice) }) },
                   { "usage", { { "completion_tokens", aAnswer.TokenCount() } } } };
  this->buffer += "data: " + Dump(last) + "\n\ndata: [DONE]\n\n";
}

ServiceAnswerWriter::ServiceAnswerWriter(HttpExchangePtr aExchange)
  : exchange(std::move(aExchange))
{
}

void
ServiceAnswerWriter::OnChanged(const Answer& aAnswer)
{
  if (!aAnswer.Ended()) {
    return;
  }
  if (aAnswer.Failure().has_value()) {
    RespondWithError(*this->exchange, *aAnswer.Failure(), aAnswer.RequestId());
    return;
  }
  const ServiceReply& reply = aAnswer.Reply();
  const std::string_view contentType =
    reply.contentType.empty() ? "application/octet-stream" : std::string_view(reply.contentType);
  this->exchange->Respond(reply.status, MakeHeaders(contentType, aAnswer.RequestId()), reply.body);
}

bool
ServiceAnswerWriter::IsDisconnected()
{
  return this->exchange->IsCallerDisconnected();
}

} // namespace lagoonward
