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

/// Where a server listens: an IPv4 number and a port, zero for any free one.
struct ListenAddress
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  /// Reads `IP:PORT`. Throws std::invalid_argument naming the text that is none.
  [[nodiscard]] static ListenAddress Parse(const std::string& aText);
  [[nodiscard]] std::string ToString() const;
};

/// A small HTTP/1.1 server over libmicrohttpd: one thread with epoll, connections that wait are
/// suspended. The handler runs on that thread, must not block, and answers through the exchange,
/// then or later.
class HttpServer
{
public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  /// Listens at once. Throws std::runtime_error where the address cannot be had.
  HttpServer(const ListenAddress& aListen, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// The address that it listens on, with the port that was given.
  [[nodiscard]] const ListenAddress& Address() const { return this->listen; }

  /// Every connection open now, but for the exchange's own, never carries a byte again; new ones
  /// work.
  void SilenceOtherConnections(const HttpExchange& aExchange);

  /// Stops listening and cuts every connection. Not from the handler.
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
  void Forget(ExchangePointer* aExchange);

  ListenAddress listen;
  Handler handler;
  std::atomic<bool> stopping{ false };
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<HttpExchange>> exchanges;
  std::unordered_set<std::shared_ptr<ConnectionState>> connections;
  MHD_Daemon* daemon = nullptr;
};

} // namespace lagoonward::standins
