#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Wire/EventStreamReader.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <memory>
#include <string>
#include <string_view>

namespace lagoonward {

/// A request to a model engine. The engine-facing format is in docs/INTERFACES.md.
struct EngineCall
{
  std::string requestId;
  std::string model;
  std::string version;
  std::string adapter; ///< Empty for none.
  std::string adapterVersion;
  std::string prompt;
  int maxTokens = 0;
  int priority = 0;
  std::uint64_t seed = 0; ///< At most 53 bits, so that every JSON reader represents it exactly.
};

/// Parameters of one attempt.
struct EngineAttempt
{
  std::string attemptId;
  std::string baseUrl;          ///< `http://IP:PORT` of the endpoint.
  std::string resumeStreamId;   ///< Stream at the same endpoint to resume; empty for a new one.
  bool freshConnection = false; ///< Whether an idle connection must not be reused.
};

/// Why an attempt ended before the answer was complete.
enum class AttemptFailure
{
  NotSent,      ///< Proven: the request never reached the endpoint.
  Rejected,     ///< Proven: the endpoint rejected the request before running it.
  NoSuchStream, ///< The engine does not know the stream to resume.
  Cancelled, ///< The engine ended the stream, as another call, maybe of another daemon, asked for it.
  Broken,    ///< The connection failed or the stream was cut.
  Foreign,   ///< An event belongs to another attempt, model or version, or names no attempt.
  Malformed, ///< An event violates the format, a token is skipped or repeated, or the token count is wrong.
};

/// The text for log lines, for example "not sent".
[[nodiscard]] std::string_view
ToString(AttemptFailure aFailure);

/// Receives the events of one attempt at an engine. All calls are made on the loop's thread.
class EngineStreamListener
{
public:
  virtual ~EngineStreamListener() = default;

  /// The engine accepted the attempt.
  virtual void OnStreamOpened(const std::string& aStreamId) = 0;

  /// Bytes arrived. Tokens among them have been appended to the answer; aNewTokens may be zero.
  virtual void OnStreamProgress(std::size_t aNewTokens) = 0;

  /// All events arrived and are consistent. The stream may be destroyed in this call.
  virtual void OnStreamFinished(const std::string& aFinishReason) = 0;

  /// The attempt ended before the answer was complete. The stream may be destroyed in this call.
  virtual void OnStreamFailed(AttemptFailure aFailure, const std::string& aMessage) = 0;
};

/// One attempt at a model engine: sends the call, checks every event, and appends to the answer only tokens that belong
/// to this attempt and arrive in order. The destructor cancels the transfer. Used on one TrafficLoop only.
class EngineStream final : private HttpTransferObserver
{
public:
  EngineStream(TrafficLoop& aLoop, const EngineCall& aCall, EngineAttempt aAttempt, Answer& aAnswer,
               std::size_t aMaximumEventBytes, EngineStreamListener& aListener);
  ~EngineStream() override;
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  /// Sends the call. The listener is not called before Start() has returned.
  void Start();

  /// The engine's id of the stream; empty until the stream is opened.
  [[nodiscard]] const std::string& StreamId() const { return this->streamId; }
  /// Whether all events have arrived and are consistent. The connection may still be open.
  [[nodiscard]] bool IsFinished() const { return this->phase == Phase::Finished; }
  [[nodiscard]] const std::string& FinishReason() const { return this->finishReason; }
  [[nodiscard]] const EngineAttempt& Attempt() const { return this->attempt; }

private:
  enum class Phase
  {
    Opening,  ///< Waiting for the first event.
    Tokens,   ///< The first event has arrived.
    Finished, ///< The last event has arrived and is consistent with the tokens.
    Failed,   ///< An event was invalid; further events are ignored.
  };

  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;
  void HandleEvent(std::string_view aData);
  void HandleToken(std::int64_t aIndex, std::string_view aText);
  void FailWith(AttemptFailure aFailure, std::string aMessage);
  [[nodiscard]] std::string MakeBody() const;
  [[nodiscard]] AttemptFailure ClassifyEnd(const TransferEnd& aEnd) const;

  TrafficLoop& loop;
  const EngineCall& call;
  EngineAttempt attempt;
  Answer& answer;
  EngineStreamListener& listener;
  EventStreamReader reader;
  TransferId transfer = 0; ///< Zero if none is running.
  Phase phase = Phase::Opening;
  std::string streamId;
  std::string finishReason;
  std::string errorBody; ///< Start of the response body if the status is not 200.
  AttemptFailure failure = AttemptFailure::Broken;
  std::string failureMessage;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Checked by posted tasks.
};

} // namespace lagoonward
