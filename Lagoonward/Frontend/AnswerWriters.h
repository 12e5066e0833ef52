#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Frontend/CallReader.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <memory>
#include <string>

namespace lagoonward {

/// Answers a request with an error of the table.
void
RespondWithError(HttpExchange& aExchange, const Error& aError, std::string_view aRequestId = {});

/// Writes a model's answer as one JSON body, in the OpenAI shape.
class JsonAnswerWriter final : public AnswerSubscriber
{
public:
  JsonAnswerWriter(HttpExchangePtr aExchange, const AnswerShape& aShape);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsGone() override;

private:
  HttpExchangePtr exchange;
  AnswerShape shape;
};

/// Writes a model's answer as server-sent events, one a token. Each event's id is the token's index,
/// so that a caller can go on after the last one it saw. An error before the first token is an
/// ordinary error answer; a later one is an `error` event, then the stream ends.
class EventAnswerWriter final : public AnswerSubscriber
{
public:
  EventAnswerWriter(HttpExchangePtr aExchange, const AnswerShape& aShape);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsGone() override;

private:
  void BeginStream(const Answer& aAnswer);
  void WriteToken(const Answer& aAnswer, std::size_t aIndex);
  void WriteEnd(const Answer& aAnswer);

  HttpExchangePtr exchange;
  AnswerShape shape;
  std::size_t nextToken; ///< First token that has not been written.
  bool begun = false;
  bool gone = false;     ///< The caller has gone or is too slow.
  std::string eventHead; ///< Everything of a token's event between its id and its text.
  std::string eventTail; ///< Everything after the text.
  std::string buffer;    ///< Events of one round; reused.
};

/// Writes a plain service's reply as it came.
class ServiceAnswerWriter final : public AnswerSubscriber
{
public:
  explicit ServiceAnswerWriter(HttpExchangePtr aExchange);
  void OnChanged(const Answer& aAnswer) override;
  [[nodiscard]] bool IsGone() override;

private:
  HttpExchangePtr exchange;
};

} // namespace lagoonward
