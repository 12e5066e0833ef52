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

/// The response of a plain service.
struct ServiceReply
{
  int status = 0;
  std::string contentType;
  std::string body;
};

class Answer;

/// Receiver of an answer: one caller's connection.
class AnswerSubscriber
{
public:
  virtual ~AnswerSubscriber() = default;

  /// New tokens or the end are available. Called on any thread, with the answer locked.
  virtual void OnChanged(const Answer& aAnswer) = 0;

  /// Whether the caller is known to have disconnected.
  [[nodiscard]] virtual bool IsDisconnected() = 0;
};

/// The answer to one request: tokens in order, then exactly one end. Written by the request's run and read by any
/// number of subscribers, which may be added at any time. Thread-safe.
class Answer
{
public:
  /// @param aCreated  Unix time in seconds, for the `created` field
  Answer(std::string aRequestId, std::string aModel, std::int64_t aCreated);

  // Writing, by the run

  /// Adds the next token.
  void Append(std::string_view aToken);

  /// Notifies subscribers of the appended tokens.
  void Publish();

  /// Ends the answer successfully.
  void Finish(std::string aFinishReason);

  /// Ends the answer to a plain service's call successfully.
  void FinishService(ServiceReply aReply);

  /// Ends the answer with an error.
  void Fail(const Error& aError);

  // Reading, by any thread

  /// Adds a subscriber and calls its OnChanged() with the current state at once.
  void Subscribe(std::shared_ptr<AnswerSubscriber> aSubscriber);

  /// Removes a subscriber.
  void Unsubscribe(const AnswerSubscriber& aSubscriber);

  /// Removes the subscribers whose callers have disconnected.
  /// @return number of remaining subscribers
  std::size_t RemoveDisconnectedSubscribers();

  /// Whether the answer has ended. Locks the answer; see also Ended().
  [[nodiscard]] bool HasEnded() const;

  /// Calls aRead with the answer locked, so that it reads a consistent state.
  template<typename Reader>
  void Read(Reader aRead) const
  {
    const std::scoped_lock lock(this->mutex);
    aRead(*this);
  }

  /// Memory use in bytes.
  [[nodiscard]] std::size_t ByteSize() const;

  // Reading without taking the lock: in OnChanged(), in Read(), or by the run

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
  std::vector<std::uint32_t> tokenEnds; ///< End offset of each token in `text`.
  bool ended = false;
  std::optional<Error> failure;
  std::string finishReason;
  ServiceReply reply;
  std::vector<std::shared_ptr<AnswerSubscriber>> subscribers;
};

using AnswerPtr = std::shared_ptr<Answer>;

} // namespace lagoonward
