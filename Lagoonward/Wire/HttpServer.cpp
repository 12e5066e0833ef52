#include "Lagoonward/Wire/HttpServer.h"

#include "Lagoonward/Core/StringMemory.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <strings.h>

namespace lagoonward {

namespace {

/// The connection of a caller that sends more than this multiple of the body limit is closed. Up to it the body is read
/// and discarded, so that the caller receives the error response.
constexpr std::size_t kMaximumOversizeFactor = 4;

struct ResponseDeleter
{
  void operator()(MHD_Response* aResponse) const { MHD_destroy_response(aResponse); }
};

using ResponsePtr = std::unique_ptr<MHD_Response, ResponseDeleter>;

/// Read state of one streamed response. Owned by libmicrohttpd.
struct StreamSource
{
  HttpExchangePtr exchange;
};

} // namespace

/// The request that a connection is receiving.
struct IncomingRequest
{
  HttpRequest request;
  HttpExchangePtr exchange;
  std::size_t receivedBytes = 0;
  bool begun = false;      ///< The headers have been processed.
  bool handedOver = false; ///< The request has been passed to the handler.
};

namespace {

/// Returns whether two parsers could disagree on where the request's body ends (RFC 9112, section 6.3).
bool
IsFramingAmbiguous(const HttpRequest& aRequest)
{
  int lengths = 0;
  int encodings = 0;
  bool isPlainChunked = true;
  bool isPlainLength = true;
  for (const auto& [name, value] : aRequest.headers) {
    if (strcasecmp(name.c_str(), "Content-Length") == 0) {
      ++lengths;
      isPlainLength = !value.empty() && std::all_of(value.begin(), value.end(), [](char aDigit) {
        return aDigit >= '0' && aDigit <= '9';
      });
    } else if (strcasecmp(name.c_str(), "Transfer-Encoding") == 0) {
      ++encodings;
      isPlainChunked = strcasecmp(value.c_str(), "chunked") == 0;
    }
  }
  return lengths + encodings > 1 || !isPlainChunked || !isPlainLength;
}

} // namespace

struct HttpServer::Callbacks
{
  static MHD_Result OnHeader(void* aHeaders, MHD_ValueKind, const char* aName, const char* aValue)
  {
    auto& headers = *static_cast<std::vector<HttpHeader>*>(aHeaders);
    headers.emplace_back(aName, aValue == nullptr ? "" : aValue);
    return MHD_YES;
  }

  /// Responds with an error and closes the connection.
  static MHD_Result Refuse(MHD_Connection* aConnection, const Error& aError)
  {
    const std::string body = aError.ToJson();
    const ResponsePtr response(MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY));
    MHD_add_response_header(response.get(), "Content-Type", "application/json");
    MHD_add_response_header(response.get(), "Connection", "close");
    return MHD_queue_response(
      aConnection, static_cast<unsigned>(GetErrorRule(aError.kind).httpStatus), response.get());
  }

  /// Records the target before it is unescaped. The returned pointer becomes the request's context.
  static void* OnTarget(void* aServer, const char* aTarget, MHD_Connection* /*aConnection*/)
  {
    auto incoming = std::make_unique<IncomingRequest>();
    incoming->request.target = aTarget;
    ++static_cast<HttpServer*>(aServer)->openExchanges;
    return incoming.release();
  }

  static MHD_Result BeginRequest(const HttpServer& aServer, MHD_Connection* aConnection,
                                 const char* aUrl, const char* aMethod, IncomingRequest& aIncoming)
  {
    aIncoming.begun = true;
    aIncoming.request.method = aMethod;
    aIncoming.request.path = aUrl;
    MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &OnHeader, &aIncoming.request.headers);
    MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &OnHeader,
                              &aIncoming.request.query);
    aIncoming.exchange = std::make_shared<HttpExchange>(aConnection);
    if (IsFramingAmbiguous(aIncoming.request)) {
      return Refuse(aConnection, Error(ErrorKind::InvalidRequest,
                                       "The end of the body is ambiguous: expected at most one "
                                       "Content-Length or Transfer-Encoding: chunked header."));
    }
    const std::string_view length = aIncoming.request.Header("Content-Length");

    // Reject a body whose announced length is too large before it is received
    std::size_t announced = 0;
    std::from_chars(length.data(), length.data() + length.size(), announced);
    if (announced > aServer.settings.maximumBodyBytes) {
      return Refuse(aConnection, BodyTooLarge(aServer));
    }
    return MHD_YES;
  }

  static Error BodyTooLarge(const HttpServer& aServer)
  {
    return { ErrorKind::BodyTooLarge, fmt::format("The body exceeds the limit of {} bytes.",
                                                  aServer.settings.maximumBodyBytes) };
  }

  static MHD_Result OnAccess(void* aServer, MHD_Connection* aConnection, const char* aUrl,
                             const char* aMethod, const char* /*aVersion*/, const char* aUpload,
                             size_t* aUploadSize, void** aContext)
  {
    auto& server = *static_cast<HttpServer*>(aServer);
    auto* incoming = static_cast<IncomingRequest*>(*aContext);
    if (incoming == nullptr) {
      return MHD_NO;
    }
    if (!incoming->begun) {
      return BeginRequest(server, aConnection, aUrl, aMethod, *incoming);
    }
    // Collect the body
    if (*aUploadSize > 0) {
      return AppendBody(server, *incoming, { aUpload, std::exchange(*aUploadSize, 0) });
    }
    if (incoming->receivedBytes > server.settings.maximumBodyBytes) {
      return Refuse(aConnection, BodyTooLarge(server));
    }
    // Pass the complete request to the handler once
    if (!incoming->handedOver) {
      incoming->handedOver = true;
      server.handler(std::move(incoming->request), incoming->exchange);
    }
    return QueueOrSuspend(server, aConnection, incoming->exchange);
  }

  static MHD_Result AppendBody(const HttpServer& aServer, IncomingRequest& aIncoming,
                               std::string_view aBytes)
  {
    const std::size_t limit = aServer.settings.maximumBodyBytes;
    aIncoming.receivedBytes += aBytes.size();
    if (aIncoming.receivedBytes <= limit) {
      aIncoming.request.body.append(aBytes);
      return MHD_YES;
    }
    return aIncoming.receivedBytes > limit * kMaximumOversizeFactor ? MHD_NO : MHD_YES;
  }

  /// Queues the response if it is ready; otherwise suspends the connection until it is.
  static MHD_Result QueueOrSuspend(HttpServer& aServer, MHD_Connection* aConnection,
                                   const HttpExchangePtr& aExchange)
  {
    const std::scoped_lock lock(aExchange->mutex);
    if (aExchange->state == HttpExchange::State::Waiting) {
      // Aborted before a response began: close the connection
      if (aExchange->aborted) {
        return MHD_NO;
      }
      aExchange->suspended = true;
      MHD_suspend_connection(aConnection);
      return MHD_YES;
    }
    if (aExchange->state != HttpExchange::State::Ready) {
      return MHD_YES;
    }
    if (aExchange->isDiscarded) {
      return MHD_NO;
    }
    const ResponsePtr response = MakeResponse(aServer, aExchange);
    for (const auto& [name, value] : aExchange->headers) {
      MHD_add_response_header(response.get(), name.c_str(), value.c_str());
    }
    if (!aServer.listening || aServer.closingAfterResponses) {
      MHD_add_response_header(response.get(), "Connection", "close");
    }
    aExchange->state = HttpExchange::State::Streaming;
    return MHD_queue_response(aConnection, static_cast<unsigned>(aExchange->status),
                              response.get());
  }

  static ResponsePtr MakeResponse(const HttpServer& aServer, const HttpExchangePtr& aExchange)
  {
    if (aExchange->streamed) {
      auto source = std::make_unique<StreamSource>(StreamSource{ aExchange });
      return ResponsePtr(
        MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, aServer.settings.streamBlockBytes,
                                          &ReadStream, source.release(), &FreeStream));
    }
    // The exchange outlives the response, so its bytes need not be copied
    return ResponsePtr(MHD_create_response_from_buffer(
      aExchange->bytes.size(), aExchange->bytes.data(), MHD_RESPMEM_PERSISTENT));
  }

  static ssize_t ReadStream(void* aSource, std::uint64_t /*aPosition*/, char* aBuffer, size_t aSize)
  {
    HttpExchange& exchange = *static_cast<StreamSource*>(aSource)->exchange;
    const std::scoped_lock lock(exchange.mutex);
    const std::size_t waiting = exchange.bytes.size() - exchange.sent;
    if (waiting > 0) {
      const std::size_t count = std::min(waiting, aSize);
      std::memcpy(aBuffer, exchange.bytes.data() + exchange.sent, count);
      exchange.sent += count;
      exchange.FreeSentLocked();
      return static_cast<ssize_t>(count);
    }
    if (exchange.ended) {
      return exchange.aborted ? MHD_CONTENT_READER_END_WITH_ERROR
                              : MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    return 0;
  }

  static void FreeStream(void* aSource) { delete static_cast<StreamSource*>(aSource); }

  static void OnCompleted(void* aServer, MHD_Connection* /*aConnection*/, void** aContext,
                          MHD_RequestTerminationCode aCode)
  {
    const std::unique_ptr<IncomingRequest> incoming(static_cast<IncomingRequest*>(*aContext));
    *aContext = nullptr;
    if (incoming == nullptr) {
      return;
    }
    std::function<void()> callback;
    if (incoming->exchange != nullptr) {
      const std::scoped_lock lock(incoming->exchange->mutex);
      incoming->exchange->state = HttpExchange::State::Done;
      incoming->exchange->connection = nullptr;
      incoming->exchange->suspended = false;
      FreeString(incoming->exchange->bytes);
      incoming->exchange->sent = 0;
      std::swap(callback, incoming->exchange->onCallerDisconnected);
    }
    if (aCode != MHD_REQUEST_TERMINATED_COMPLETED_OK && callback) {
      callback();
    }
    --static_cast<HttpServer*>(aServer)->openExchanges;
  }
};

void
HttpServer::DaemonDeleter::operator()(MHD_Daemon* aDaemon) const
{
  MHD_stop_daemon(aDaemon);
}

HttpServer::HttpServer(HttpServerSettings aSettings, Handler aHandler)
  : settings(std::move(aSettings))
  , handler(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  this->Stop();
}

Result<void>
HttpServer::Start()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->settings.port);
  if (inet_pton(AF_INET, this->settings.address.c_str(), &address.sin_addr) != 1) {
    return Error(ErrorKind::InvalidSettings, this->settings.address + " is not an IPv4 address.");
  }
  this->listening = true;
  this->daemon.reset(MHD_start_daemon(
    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, this->settings.port, nullptr, nullptr,
    &Callbacks::OnAccess, this, MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
    MHD_OPTION_THREAD_POOL_SIZE, this->settings.threads > 1 ? this->settings.threads : 0U,
    MHD_OPTION_CONNECTION_LIMIT,
    std::max(this->settings.maximumConnections, this->settings.threads),
    MHD_OPTION_CONNECTION_MEMORY_LIMIT, this->settings.connectionMemoryBytes,
    MHD_OPTION_CONNECTION_TIMEOUT, this->settings.idleTimeoutSeconds, MHD_OPTION_STRICT_FOR_CLIENT,
    1, MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::OnTarget, this, MHD_OPTION_LISTEN_BACKLOG_SIZE,
    static_cast<unsigned>(SOMAXCONN), MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::OnCompleted, this,
    MHD_OPTION_END));
  if (this->daemon == nullptr) {
    return Error(ErrorKind::InvalidSettings,
                 fmt::format("Cannot listen on {}:{}: {}.", this->settings.address,
                             this->settings.port, std::strerror(errno)));
  }
  return boost::outcome_v2::success();
}

void
HttpServer::CloseAfterResponses()
{
  this->closingAfterResponses = true;
}

void
HttpServer::StopListening()
{
  if (this->daemon != nullptr && this->listening.exchange(false)) {
    const int descriptor = MHD_quiesce_daemon(this->daemon.get());
    // Refuses new connections at once. The descriptor stays open, as server threads may still use it until they end
    ::shutdown(descriptor, SHUT_RD);
    this->quiesced = UniqueFd(descriptor);
  }
}

void
HttpServer::Stop()
{
  this->StopListening();
  this->daemon.reset();
  this->quiesced.Reset();
}

std::uint16_t
HttpServer::Port() const
{
  const auto* info = MHD_get_daemon_info(this->daemon.get(), MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? 0 : info->port;
}

int
HttpServer::OpenExchanges() const
{
  return this->openExchanges;
}

} // namespace lagoonward
