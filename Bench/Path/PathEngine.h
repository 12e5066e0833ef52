#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace lagoonward::bench {

/// Tunables of the bench's engine.
struct PathEngineSettings
{
  unsigned threads = 4;
  Milliseconds step{ 20 };       ///< Time between two tokens of a stream.
  std::string token = " assess"; ///< Text of every token.
};

/// A model engine that streams the same token at a steady rate, and a plain service that answers every
/// other path at once. The first token comes with the answer's head.
class PathEngine
{
public:
  explicit PathEngine(PathEngineSettings aSettings);
  ~PathEngine();
  PathEngine(const PathEngine&) = delete;
  PathEngine& operator=(const PathEngine&) = delete;

  [[nodiscard]] Result<void> Start();

  /// Ends every open stream properly at its next token.
  void FinishStreams();

  void SetStep(Milliseconds aStep) { this->step = aStep; }
  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }

private:
  /// One answer in progress.
  struct Stream
  {
    HttpExchangePtr exchange;
    std::string identity; ///< Fields that the first and the last event repeat.
    int next = 0;         ///< Index of the next token.
    int count = 0;        ///< Tokens in all.
  };

  void Handle(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  void BeginStream(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  /// Writes the next token, and the end after the last.
  /// @return whether the stream goes on
  bool WriteNext(Stream& aStream, std::string aBefore);
  void Run();

  PathEngineSettings settings;
  std::string tokenTail; ///< Everything of a token's event after its index.
  std::atomic<Milliseconds> step;
  std::mutex mutex; ///< Guards `streams`.
  std::vector<Stream> streams;
  std::atomic<bool> stopping{ false };
  HttpServer server;
  std::thread ticker;
};

} // namespace lagoonward::bench
