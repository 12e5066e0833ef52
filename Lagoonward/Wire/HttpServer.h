#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Wire/ConnectionTable.h"
#include "Lagoonward/Wire/HttpExchange.h"
#include "Lagoonward/Wire/HttpLimits.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

struct MHD_Daemon;

namespace lagoonward {

/// Settings of an HttpServer.
struct HttpServerSettings
{
  std::string address = "127.0.0.1"; ///< IPv4 address to listen on.
  std::uint16_t port = 0;            ///< Zero selects a free port.
  unsigned threads = 1;
  /// Beyond it, connections that wait for a request or receive one are closed; see ConnectionTable.
  unsigned maximumConnections = 4096;
  std::size_t connectionMemoryBytes = 16U << 10U; ///< Per connection; limits the headers as well.
  std::size_t streamBlockBytes = 2048; ///< Largest block of a streamed response; one per stream.
  HttpLimits limits;                   ///< Until SetLimits().
};

/// An HTTP/1.1 server based on libmicrohttpd. Passes each complete request to a handler, which responds through the
/// exchange, immediately or later, from any thread. The handler runs on a server thread.
class HttpServer
{
public:
  /// Connections beyond the maximum that may be open for a moment, so that others can be closed for them.
  static constexpr unsigned kSpareConnections = 8;

  using Handler = std::function<void(HttpRequest aRequest, const HttpExchangePtr& aExchange)>;

  /// @param aConnections  of all servers of the process; null for a table of its own
  HttpServer(HttpServerSettings aSettings, Handler aHandler,
             std::shared_ptr<ConnectionTable> aConnections = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the socket and starts the threads. Errors: InvalidSettings.
  [[nodiscard]] Result<void> Start();

  /// Sets what clients may send from their next request on. Any thread.
  void SetLimits(const HttpLimits& aLimits);

  /// Closes each connection after its next response, so that callers reconnect to another daemon. New connections
  /// are still accepted, because a load balancer takes some time to stop sending them.
  void CloseAfterResponses();

  /// Stops accepting connections. Open connections are still served and are closed after their next response.
  void StopListening();

  /// Stops all threads and closes all connections; those of responses that have not been sent completely so that their
  /// callers can detect it. Requires that every exchange has been responded to. May be called twice.
  void Stop();

  /// Returns the port that the server listens on. Valid after Start().
  [[nodiscard]] std::uint16_t Port() const;

  /// Returns the number of requests whose response has not been sent completely.
  [[nodiscard]] int OpenExchanges() const;

private:
  /// The callbacks of libmicrohttpd. Defined in the source file, so that its header is not included here.
  struct Callbacks;
  friend struct Callbacks;

  struct DaemonDeleter
  {
    void operator()(MHD_Daemon* aDaemon) const;
  };

  [[nodiscard]] std::shared_ptr<const HttpLimits> Limits() const;
  /// Adds a stream without chunks. @return false if the server is being stopped; then it must not begin
  [[nodiscard]] bool AddUndelimitedStream(const HttpExchangePtr& aExchange);
  void RemoveUndelimitedStream(const HttpExchangePtr& aExchange);
  /// Resets the connections of all streams without chunks, as the library would end them in an orderly way.
  void ResetUndelimitedStreams();

  HttpServerSettings settings;
  Handler handler;
  std::shared_ptr<const HttpLimits> limits; ///< Accessed atomically.
  std::shared_ptr<ConnectionTable> connections;
  ConnectionTable::Listener& listener; ///< In `connections`.
  std::unique_ptr<MHD_Daemon, DaemonDeleter> daemon;
  UniqueFd quiesced;           ///< The listening socket after StopListening().
  std::mutex undelimitedMutex; ///< Guards the next two.
  std::unordered_set<HttpExchangePtr> undelimitedStreams;
  bool acceptsUndelimitedStreams = true;
  std::atomic<int> openExchanges{ 0 };
  std::atomic<bool> listening{ false };
  std::atomic<bool> closingAfterResponses{ false };
};

} // namespace lagoonward
