#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Frontend/CallReader.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <memory>
#include <string>

namespace lagoonward {

/// Responds with the HTTP status and JSON body of an error, and with `Retry-After` if its rule sends it.
void
RespondWithError(HttpExchange& aExchange, const Error& aError, std::string_view aRequestId = {});

/// Writes a model's answer as one JSON body, in the OpenAI format.
class JsonAnswerWriter final : public AnswerSubscriber
{
public:
  JsonAnswerWriter(HttpExchangePtr aExchange, const AnswerFormat& aFormat);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsDisconnected() override;

private:
  HttpExchangePtr exchange;
  AnswerFormat format;
};

/// Writes a model's answer as server-sent events, one per token. Each event's id is the token's index, so
/// that a caller can resume after the last event it received. An error before the first token is an ordinary error
/// response; a later one is sent as an `error` event, then the stream ends.
class EventAnswerWriter final : public AnswerSubscriber
{
public:
  EventAnswerWriter(HttpExchangePtr aExchange, const AnswerFormat& aFormat);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsDisconnected() override;

private:
  void BeginStream(const Answer& aAnswer);
  void WriteToken(const Answer& aAnswer, std::size_t aIndex);
  void WriteEnd(const Answer& aAnswer);

  HttpExchangePtr exchange;
  AnswerFormat format;
  std::size_t nextToken; ///< Index of the first token that has not been written.
  bool streamStarted = false;
  bool disconnected = false; ///< The caller has disconnected or reads too slowly.
  std::string eventPrefix;   ///< Part of a token's event between its id and its text.
  std::string eventSuffix;   ///< Part of a token's event after its text.
  std::string buffer; ///< Events of one call of OnChanged(); a member so that its memory is reused.
};

/// Writes the reply of a service unchanged: status, content type and body.
class ServiceAnswerWriter final : public AnswerSubscriber
{
public:
  explicit ServiceAnswerWriter(HttpExchangePtr aExchange);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsDisconnected() override;

private:
  HttpExchangePtr exchange;
};

} // namespace lagoonward
