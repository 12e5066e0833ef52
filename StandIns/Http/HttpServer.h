#pragma once

#include "StandIns/Http/HttpExchange.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

namespace lagoonward::standins {

/// Listen address: IPv4 address and port; port zero selects any free one.
struct ListenAddress
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  /// Parses `IP:PORT`. Throws std::invalid_argument with the malformed text.
  [[nodiscard]] static ListenAddress Parse(const std::string& aText);
  [[nodiscard]] std::string ToString() const;
};

/// HTTP/1.1 server on libmicrohttpd: one thread with epoll; connections that wait for a response are
/// suspended. The handler runs on that thread, must not block, and responds through the exchange,
/// immediately or later.
class HttpServer
{
public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  /// Starts listening. Throws std::runtime_error if the address cannot be bound.
  HttpServer(const ListenAddress& aListen, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// The address that the server listens on, with the actual port.
  [[nodiscard]] const ListenAddress& Address() const { return this->listen; }

  /// Marks all open connections except that of aExchange as silent, permanently: their data is neither
  /// processed nor sent any more. New connections are not affected.
  void SilenceOtherConnections(const HttpExchange& aExchange);

  /// Stops listening and closes every connection. Must not be called from the handler.
  void Stop();

private:
  static MHD_Result OnRequest(void* aSelf, MHD_Connection* aConnection, const char* aUrl,
                              const char* aMethod, const char* aVersion, const char* aData,
                              std::size_t* aDataSize, void** aContext);
  static void OnCompleted(void* aSelf, MHD_Connection* aConnection, void** aContext,
                          MHD_RequestTerminationCode aCode);
  static void OnConnection(void* aSelf, MHD_Connection* aConnection, void** aContext,
                           MHD_ConnectionNotificationCode aCode);

  using ExchangePointer = std::shared_ptr<HttpExchange>;

  ExchangePointer* Accept(MHD_Connection* aConnection, const char* aUrl, const char* aMethod);
  void Release(ExchangePointer* aExchange);

  ListenAddress listen;
  Handler handler;
  std::atomic<bool> stopping{ false };
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<HttpExchange>> exchanges;
  std::unordered_set<std::shared_ptr<ConnectionState>> connections;
  MHD_Daemon* daemon = nullptr;
};

} // namespace lagoonward::standins
