#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace lagoonward {

/// Tunables of an HTTP server.
struct HttpServerSettings
{
  std::string address = "127.0.0.1"; ///< IP number to listen on.
  std::uint16_t port = 0;            ///< Zero picks a free one.
  unsigned threads = 1;
  unsigned maximumConnections = 4096;
  std::size_t maximumBodyBytes = 4U << 20U;
  std::size_t connectionMemoryBytes = 16U << 10U; ///< Bounds the headers as well.
  std::size_t streamBlockBytes = 2048; ///< Largest piece of a stream sent at once; held by each.
  unsigned idleTimeoutSeconds = 30;    ///< Longest silence of a caller that owes us bytes.
};

/// An HTTP/1.1 server. Hands each whole request to a handler, which answers through the exchange
/// at once or later, from any thread.
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest aRequest, const HttpExchangePtr& aExchange)>;

  HttpServer(HttpServerSettings aSettings, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts the threads.
  [[nodiscard]] Result<void> Start();

  /// From now on each answer closes its connection, so that callers go elsewhere. New connections
  /// are still taken, since a balancer needs a moment to stop sending them.
  void CloseAfterAnswers();

  /// Takes no new connections; those open are served on, each closed after its answer.
  void StopListening();

  /// Ends all threads and connections. Every exchange must have been answered. Safe to call twice.
  void Stop();

  /// The port it listens on, once started.
  [[nodiscard]] std::uint16_t Port() const;

  /// Requests received and not yet answered whole.
  [[nodiscard]] int OpenExchanges() const;

private:
  /// libmicrohttpd's callbacks; kept out of this header.
  struct Callbacks;
  friend struct Callbacks;

  struct DaemonDeleter
  {
    void operator()(MHD_Daemon* aDaemon) const;
  };

  HttpServerSettings settings;
  Handler handler;
  std::unique_ptr<MHD_Daemon, DaemonDeleter> daemon;
  UniqueFd quiesced; ///< The listening socket after StopListening().
  std::atomic<int> openExchanges{ 0 };
  std::atomic<bool> listening{ false };
  std::atomic<bool> closingAfterAnswers{ false };
};

} // namespace lagoonward
