#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace lagoonward::bench {

/// Settings of PathEngine.
struct PathEngineSettings
{
  unsigned threads = 4;
  Milliseconds step{ 20 };       ///< Time between two tokens of a stream.
  std::string token = " assess"; ///< Text of every token.
};

/// HTTP server that acts as a model engine and as a plain service. As an engine it streams the same token at a constant
/// rate; the first token is sent together with the response head. Every other path is answered immediately.
class PathEngine
{
public:
  explicit PathEngine(PathEngineSettings aSettings);
  ~PathEngine();
  PathEngine(const PathEngine&) = delete;
  PathEngine& operator=(const PathEngine&) = delete;

  [[nodiscard]] Result<void> Start();

  /// Completes every open stream with its next token.
  void FinishStreams();

  void SetStep(Milliseconds aStep) { this->step = aStep; }
  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }

private:
  /// A response in progress.
  struct Stream
  {
    HttpExchangePtr exchange;
    std::string identityFields; ///< Fields that the first and the last event repeat.
    int next = 0;               ///< Index of the next token.
    int count = 0;              ///< Total number of tokens.
  };

  void Handle(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  void BeginStream(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  /// Writes the next token and, after the last one, the final event.
  /// @return whether the stream continues
  bool WriteNext(Stream& aStream, std::string aPrefix);
  void RunTicker();

  PathEngineSettings settings;
  std::string tokenEventSuffix; ///< Part of a token event after the index.
  std::atomic<Milliseconds> step;
  std::mutex mutex; ///< Guards `streams`.
  std::vector<Stream> streams;
  std::atomic<bool> stopping{ false };
  HttpServer server;
  std::thread ticker;
};

} // namespace lagoonward::bench
