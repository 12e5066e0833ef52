#include "StandIns/Http/HttpServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cctype>
#include <charconv>
#include <stdexcept>
#include <vector>

namespace lagoonward::standins {

namespace {

/// Maximum number of open connections per server.
constexpr unsigned kConnectionLimit = 8192;

/// Length of the queue of connections that wait to be accepted.
constexpr unsigned kBacklog = 1024;

MHD_Result
CollectHeader(void* aHeaders, MHD_ValueKind /*aKind*/, const char* aName, const char* aValue)
{
  std::string name = aName;
  for (auto& letter : name) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  (*static_cast<std::map<std::string, std::string>*>(aHeaders))[name] = aValue ? aValue : "";
  return MHD_YES;
}

MHD_Result
CollectArgument(void* aArguments, MHD_ValueKind /*aKind*/, const char* aName, const char* aValue)
{
  (*static_cast<std::map<std::string, std::string>*>(aArguments))[aName] = aValue ? aValue : "";
  return MHD_YES;
}

sockaddr_in
ToSocketAddress(const ListenAddress& aListen)
{
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_port = htons(aListen.port);
  if (inet_pton(AF_INET, aListen.address.c_str(), &socketAddress.sin_addr) != 1) {
    throw std::invalid_argument("expected an IPv4 address, got " + aListen.address);
  }
  return socketAddress;
}

std::shared_ptr<ConnectionState>
GetConnectionState(MHD_Connection* aConnection)
{
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<std::shared_ptr<ConnectionState>*>(info->socket_context);
}

} // namespace

ListenAddress
ListenAddress::Parse(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  ListenAddress listen;
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:PORT, got " + aText);
  }
  listen.address = aText.substr(0, colon);
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, listen.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw std::invalid_argument("expected IP:PORT, got " + aText);
  }
  (void)ToSocketAddress(listen);
  return listen;
}

std::string
ListenAddress::ToString() const
{
  return this->address + ":" + std::to_string(this->port);
}

HttpServer::HttpServer(const ListenAddress& aListen, Handler aHandler)
  : listen(aListen)
  , handler(std::move(aHandler))
{
  const auto socketAddress = ToSocketAddress(aListen);
  const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  this->daemon =
    MHD_start_daemon(flags, 0, nullptr, nullptr, &HttpServer::OnRequest, this, MHD_OPTION_SOCK_ADDR,
                     &socketAddress, MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::OnCompleted, this,
                     MHD_OPTION_NOTIFY_CONNECTION, &HttpServer::OnConnection, this,
                     MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit, MHD_OPTION_LISTEN_BACKLOG_SIZE,
                     kBacklog, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (this->daemon == nullptr) {
    throw std::runtime_error("cannot listen on " + aListen.ToString());
  }
  this->listen.port = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

HttpServer::~HttpServer()
{
  this->Stop();
}

void
HttpServer::SilenceOtherConnections(const HttpExchange& aExchange)
{
  const std::lock_guard lock(this->mutex);
  for (const auto& connection : this->connections) {
    connection->silent = connection->silent || connection != aExchange.state;
  }
}

void
HttpServer::Stop()
{
  if (this->daemon == nullptr) {
    return;
  }
  // Refuse new connections; open ones are closed at their next event
  const auto listening = MHD_quiesce_daemon(this->daemon);
  this->stopping = true;
  // The library runs callbacks under its own lock, so it must not be called with this->mutex locked
  std::vector<std::shared_ptr<HttpExchange>> open;
  {
    const std::lock_guard lock(this->mutex);
    open.assign(this->exchanges.begin(), this->exchanges.end());
  }
  for (const auto& exchange : open) {
    exchange->Abort();
  }
  MHD_stop_daemon(this->daemon);
  this->daemon = nullptr;
  if (listening != MHD_INVALID_SOCKET) {
    close(listening);
  }
}

HttpServer::ExchangePointer*
HttpServer::Accept(MHD_Connection* aConnection, const char* aUrl, const char* aMethod)
{
  auto exchange =
    std::make_shared<HttpExchange>(aConnection, GetConnectionState(aConnection), this->stopping);
  auto& request = exchange->request;
  request.method = aMethod;
  request.path = aUrl;
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &CollectHeader, &request.headers);
  MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &CollectArgument, &request.query);
  const std::lock_guard lock(this->mutex);
  this->exchanges.insert(exchange);
  return new ExchangePointer(std::move(exchange)); // owned by the connection until OnCompleted
}

MHD_Result
HttpServer::OnRequest(void* aSelf, MHD_Connection* aConnection, const char* aUrl,
                      const char* aMethod, const char* /*aVersion*/, const char* aData,
                      std::size_t* aDataSize, void** aContext)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  if (self->stopping) {
    return MHD_NO;
  }
  // First call: only the headers are available
  if (*aContext == nullptr) {
    *aContext = self->Accept(aConnection, aUrl, aMethod);
    return MHD_YES;
  }
  const auto exchange = *static_cast<ExchangePointer*>(*aContext);
  // Subsequent calls: chunks of the body
  if (*aDataSize > 0) {
    exchange->request.body.append(aData, *aDataSize);
    *aDataSize = 0;
    return MHD_YES;
  }
  // The request is complete; on a silent connection it is dropped
  if (!exchange->dispatched && !exchange->state->silent) {
    exchange->dispatched = true;
    self->handler(exchange);
  }
  return exchange->SendOrSuspend();
}

void
HttpServer::Release(ExchangePointer* aExchange)
{
  (*aExchange)->MarkDisconnected();
  const std::lock_guard lock(this->mutex);
  this->exchanges.erase(*aExchange);
}

void
HttpServer::OnCompleted(void* aSelf, MHD_Connection* /*aConnection*/, void** aContext,
                        MHD_RequestTerminationCode /*aCode*/)
{
  auto* exchange = static_cast<ExchangePointer*>(*aContext);
  if (exchange == nullptr) {
    return;
  }
  static_cast<HttpServer*>(aSelf)->Release(exchange);
  delete exchange;
  *aContext = nullptr;
}

void
HttpServer::OnConnection(void* aSelf, MHD_Connection* /*aConnection*/, void** aContext,
                         MHD_ConnectionNotificationCode aCode)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  const std::lock_guard lock(self->mutex);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    auto* state = new std::shared_ptr<ConnectionState>(std::make_shared<ConnectionState>());
    self->connections.insert(*state);
    *aContext = state;
    return;
  }
  auto* state = static_cast<std::shared_ptr<ConnectionState>*>(*aContext);
  self->connections.erase(*state);
  delete state;
  *aContext = nullptr;
}

} // namespace lagoonward::standins
