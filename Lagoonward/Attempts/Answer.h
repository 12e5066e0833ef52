#pragma once

#include "Lagoonward/Core/Error.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// What a plain service answered.
struct ServiceReply
{
  int status = 0;
  std::string contentType;
  std::string body;
};

class Answer;

/// Someone who wants an answer: one caller's connection.
class AnswerSubscriber
{
public:
  virtual ~AnswerSubscriber() = default;

  /// There is more to read, or the end. Called with the answer locked, on any thread.
  virtual void OnChanged(const Answer& aAnswer) = 0;

  /// Whether the caller is known to have gone.
  [[nodiscard]] virtual bool IsGone() = 0;
};

/// The one answer to one request: tokens in order, then exactly one end. Written by the request's
/// run, read by any number of subscribers, which may join at any time. Safe from any thread.
class Answer
{
public:
  /// @param aCreated  Unix seconds, for the `created` field
  Answer(std::string aRequestId, std::string aModel, std::int64_t aCreated);

  // Writing, by the run

  /// Adds the next token.
  void Append(std::string_view aToken);

  /// Tells subscribers of what was appended.
  void Publish();

  /// Ends the answer whole.
  void Finish(std::string aFinishReason);

  /// Ends the answer whole, for a plain service's call.
  void FinishService(ServiceReply aReply);

  /// Ends the answer with an error.
  void Fail(const Error& aError);

  // Reading, from outside

  /// Adds a subscriber and brings it up to date at once.
  void Subscribe(std::shared_ptr<AnswerSubscriber> aSubscriber);

  /// Removes a subscriber.
  void Unsubscribe(const AnswerSubscriber& aSubscriber);

  /// Removes the subscribers whose callers have gone.
  /// @return how many are left
  std::size_t DropGoneSubscribers();

  /// Whether it has ended.
  [[nodiscard]] bool HasEnded() const;

  /// Calls aRead with the answer locked, so that all it reads belongs together.
  template<typename Reader>
  void Read(Reader aRead) const
  {
    const std::scoped_lock lock(this->mutex);
    aRead(*this);
  }

  /// Memory that it takes.
  [[nodiscard]] std::size_t ByteSize() const;

  // Reading, by a subscriber in OnChanged() or by the run

  [[nodiscard]] const std::string& RequestId() const { return this->requestId; }
  [[nodiscard]] const std::string& Model() const { return this->model; }
  [[nodiscard]] std::int64_t Created() const { return this->created; }
  [[nodiscard]] std::size_t TokenCount() const { return this->tokenEnds.size(); }
  [[nodiscard]] std::string_view Token(std::size_t aIndex) const;
  [[nodiscard]] std::string_view Text() const { return this->text; }
  [[nodiscard]] bool Ended() const { return this->ended; }
  [[nodiscard]] const std::optional<Error>& Failure() const { return this->failure; }
  [[nodiscard]] const std::string& FinishReason() const { return this->finishReason; }
  [[nodiscard]] const ServiceReply& Reply() const { return this->reply; }

private:
  void NotifyLocked();

  const std::string requestId;
  const std::string model;    ///< As the caller named it.
  const std::int64_t created; ///< Unix seconds.
  mutable std::mutex mutex;   ///< Guards all below.
  std::string text;
  std::vector<std::uint32_t> tokenEnds; ///< Where each token ends in `text`.
  bool ended = false;
  std::optional<Error> failure;
  std::string finishReason;
  ServiceReply reply;
  std::vector<std::shared_ptr<AnswerSubscriber>> subscribers;
};

using AnswerPtr = std::shared_ptr<Answer>;

} // namespace lagoonward
