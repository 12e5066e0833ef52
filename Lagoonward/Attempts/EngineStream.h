#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Wire/EventStreamReader.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <memory>
#include <string>
#include <string_view>

namespace lagoonward {

/// What is asked of a model engine. The engine-facing format is in docs/INTERFACES.md.
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
  std::uint64_t seed = 0; ///< At most 53 bits, so that every JSON reader keeps it.
};

/// How one attempt begins.
struct EngineAttempt
{
  std::string attemptId;
  std::string baseUrl;          ///< `http://IP:PORT` of the endpoint.
  std::string resumeStream;     ///< Stream at the same endpoint to go on with; empty for a new one.
  bool freshConnection = false; ///< Whether an idle connection must not be reused.
};

/// Why an attempt ended without a whole answer.
enum class AttemptFailure
{
  NotSent,      ///< Proven: the endpoint never saw it.
  Rejected,     ///< Proven: the endpoint refused it before running it.
  NoSuchStream, ///< The stream to go on with is not there.
  Broken,       ///< The connection failed or the stream was cut.
  Foreign,      ///< The stream named another attempt, model or version.
  Malformed,    ///< The stream broke the format, skipped or repeated a token, or miscounted.
};

/// The text for log lines, for example "not sent".
[[nodiscard]] std::string_view
ToString(AttemptFailure aFailure);

/// Hears of one attempt at an engine. All calls come on the loop's thread.
class EngineStreamListener
{
public:
  virtual ~EngineStreamListener() = default;

  /// The engine took the attempt.
  virtual void OnStreamOpened(const std::string& aStreamId) = 0;

  /// Any sign of life. Tokens that came with it have been appended to the answer.
  virtual void OnStreamProgress(std::size_t aNewTokens) = 0;

  /// All events arrived and agree. The stream may be destroyed in this call.
  virtual void OnStreamFinished(const std::string& aFinishReason) = 0;

  /// The attempt is over without a whole answer. The stream may be destroyed in this call.
  virtual void OnStreamFailed(AttemptFailure aFailure, const std::string& aMessage) = 0;
};

/// One attempt at a model engine: sends the call, checks every event, and appends to the answer
/// only tokens that belong to this attempt and come in order. Destroying it cancels the transfer.
class EngineStream final : private HttpTransferObserver
{
public:
  EngineStream(TrafficLoop& aLoop, const EngineCall& aCall, EngineAttempt aAttempt, Answer& aAnswer,
               std::size_t aMaximumEventBytes, EngineStreamListener& aListener);
  ~EngineStream() override;
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  /// Sends the call. The listener is not called before this has returned.
  void Start();

  /// The engine's name of the stream; empty until it is opened.
  [[nodiscard]] const std::string& StreamId() const { return this->streamId; }
  /// Whether all events have come and agree, though the connection may not have ended yet.
  [[nodiscard]] bool IsWhole() const { return this->phase == Phase::Finished; }
  [[nodiscard]] const std::string& FinishReason() const { return this->finishReason; }
  [[nodiscard]] const EngineAttempt& Attempt() const { return this->attempt; }

private:
  enum class Phase
  {
    Opening,  ///< Waiting for the first event.
    Tokens,   ///< The first event has come.
    Finished, ///< The last event has come and agrees.
    Failed,   ///< An event was wrong; the rest is ignored.
  };

  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;
  void TakeEvent(std::string_view aData);
  void TakeToken(std::int64_t aIndex, std::string_view aText);
  void FailWith(AttemptFailure aFailure, std::string aMessage);
  [[nodiscard]] std::string MakeBody() const;
  [[nodiscard]] AttemptFailure ClassifyEnd(const TransferEnd& aEnd) const;

  TrafficLoop& loop;
  const EngineCall& call;
  EngineAttempt attempt;
  Answer& answer;
  EngineStreamListener& listener;
  EventStreamReader reader;
  TransferId transfer = 0; ///< Zero when none is running.
  Phase phase = Phase::Opening;
  std::string streamId;
  std::string finishReason;
  std::string errorBody; ///< Start of the body of an answer that is not a stream.
  AttemptFailure failure = AttemptFailure::Broken;
  std::string failureMessage;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Seen by posted tasks.
};

} // namespace lagoonward
