#include "Lagoonward/Wire/HttpServer.h"

#include "Lagoonward/Core/ListenSocket.h"
#include "Lagoonward/Core/StringMemory.h"
#include "Lagoonward/Core/SystemClock.h"

#include <fmt/format.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>
#include <optional>
#include <span>
#include <strings.h>

namespace lagoonward {

namespace {

/// The connection of a caller that sends more than this multiple of the body limit is closed. Up to it the body is read
/// and discarded, so that the caller receives the error response.
constexpr std::size_t kMaximumOversizeFactor = 4;

/// An announced body up to this size gets its memory at once; a larger one as it arrives.
constexpr std::size_t kReservedBodyBytes = 64U << 10U;

/// Longest timeout that is passed to the HTTP library.
constexpr Seconds kMaximumIdleTimeout{ 24 * 60 * 60 };

/// For a request for which there is no memory. Another daemon may have some at once.
constexpr Milliseconds kMemoryRetryAfter{ 1000 };

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
  ConnectionTable::Connection* connection = nullptr;
  std::shared_ptr<const HttpLimits> limits; ///< When the head was received.
  HttpRequest request;
  std::string body;
  HttpExchangePtr exchange;
  std::size_t expectedBytes =
    0; ///< Of the body: its announced length, or the limit if none was announced.
  std::size_t receivedBytes = 0;
  bool begun = false;      ///< The headers have been processed.
  bool handedOver = false; ///< The request has been passed to the handler.
  bool readsChunks = true; ///< The caller's version of HTTP has chunked encoding.
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

/// The length that the head announces. Nothing if the body comes in chunks; zero if there is none.
std::optional<std::size_t>
AnnouncedLength(const HttpRequest& aRequest)
{
  if (!aRequest.Header("Transfer-Encoding").empty()) {
    return std::nullopt;
  }
  const std::string_view text = aRequest.Header("Content-Length");
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return error == std::errc::result_out_of_range ? std::numeric_limits<std::size_t>::max() : length;
}

/// Bytes of all header lines, with their line ends.
std::size_t
HeaderLineBytes(std::span<const HttpHeader> aHeaders)
{
  constexpr std::size_t kSeparators = std::string_view(": \r\n").size();
  std::size_t bytes = 0;
  for (const auto& [name, value] : aHeaders) {
    bytes += name.size() + value.size() + kSeparators;
  }
  return bytes;
}

/// The capacity with which a body grows to a size: few copies, and no more memory than the whole body needs.
std::size_t
GrownCapacity(std::size_t aNeeded, std::size_t aCapacity, std::size_t aExpected)
{
  const std::size_t first = aExpected <= kReservedBodyBytes ? aExpected : 0;
  return std::max({ aNeeded, first, std::min(aCapacity * 2, aExpected) });
}

/// Gives a string exactly this capacity; std::string::reserve() may give it more.
void
Grow(std::string& aText, std::size_t aCapacity)
{
  std::string grown;
  grown.reserve(aCapacity);
  grown.append(aText);
  aText.swap(grown);
}

/// A table for a server that shares none with others.
std::shared_ptr<ConnectionTable>
MakeOwnTable()
{
  static const SystemClock kClock;
  return std::make_shared<ConnectionTable>(ConnectionTableSettings{}, kClock);
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
    if (aError.retryAfter) {
      const std::string seconds =
        std::to_string(std::chrono::ceil<Seconds>(*aError.retryAfter).count());
      MHD_add_response_header(response.get(), "Retry-After", seconds.c_str());
    }
    return MHD_queue_response(
      aConnection, static_cast<unsigned>(GetErrorRule(aError.kind).httpStatus), response.get());
  }

  /// A connection was accepted, or is about to be closed.
  static void OnConnection(void* aServer, MHD_Connection* aConnection, void** aContext,
                           MHD_ConnectionNotificationCode aCode)
  {
    auto& server = *static_cast<HttpServer*>(aServer);
    if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
      const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
      *aContext = &server.connections->Open(server.listener, info->connect_fd);
    } else {
      server.connections->Close(*static_cast<ConnectionTable::Connection*>(*aContext));
    }
  }

  /// Records the target before it is unescaped. The returned pointer becomes the request's context.
  static void* OnTarget(void* aServer, const char* aTarget, MHD_Connection* aConnection)
  {
    auto& server = *static_cast<HttpServer*>(aServer);
    auto incoming = std::make_unique<IncomingRequest>();
    incoming->request.target = aTarget;
    const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    incoming->connection = static_cast<ConnectionTable::Connection*>(info->socket_context);
    server.connections->OnHeadBegun(*incoming->connection);
    ++server.openExchanges;
    return incoming.release();
  }

  static MHD_Result BeginRequest(const HttpServer& aServer, MHD_Connection* aConnection,
                                 const char* aUrl, const char* aMethod, std::string_view aVersion,
                                 IncomingRequest& aIncoming)
  {
    aIncoming.begun = true;
    // The library refuses older versions, and uses chunks for later ones
    aIncoming.readsChunks = aVersion != MHD_HTTP_VERSION_1_0;
    aIncoming.limits = aServer.Limits();
    aIncoming.request.method = aMethod;
    aIncoming.request.path = aUrl;
    MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &OnHeader, &aIncoming.request.headers);
    MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &OnHeader,
                              &aIncoming.request.query);
    aIncoming.exchange = std::make_shared<HttpExchange>(aConnection);
    ApplyIdleTimeout(aServer, aConnection, *aIncoming.limits);
    const auto refusal = CheckHead(aServer, aConnection, aIncoming);
    return refusal ? Refuse(aConnection, *refusal) : MHD_YES;
  }

  /// @return why the request is refused before its body is received; nothing if it is not
  static std::optional<Error> CheckHead(const HttpServer& aServer, MHD_Connection* aConnection,
                                        IncomingRequest& aIncoming)
  {
    const HttpLimits& limits = *aIncoming.limits;
    const std::size_t headBytes =
      MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
    const auto announced = AnnouncedLength(aIncoming.request);
    aIncoming.expectedBytes = announced.value_or(limits.maximumBodyBytes);
    const bool isTooLarge = aIncoming.expectedBytes > limits.maximumBodyBytes;
    const bool hasMemory = aServer.connections->OnHeadReceived(
      *aIncoming.connection, headBytes, isTooLarge ? 0 : aIncoming.expectedBytes,
      announced.has_value());
    if (IsFramingAmbiguous(aIncoming.request)) {
      return Error(ErrorKind::InvalidRequest,
                   "The end of the body is ambiguous: expected at most one "
                   "Content-Length or Transfer-Encoding: chunked header.");
    }
    const std::size_t headerBytes = HeaderLineBytes(aIncoming.request.headers);
    if (limits.maximumHeaderBytes > 0 && headerBytes > limits.maximumHeaderBytes) {
      return Error(ErrorKind::HeadersTooLarge,
                   fmt::format("The header lines have {} bytes, over the limit of {}.", headerBytes,
                               limits.maximumHeaderBytes));
    }
    if (isTooLarge) {
      return BodyTooLarge(limits);
    }
    if (!hasMemory) {
      return Error(ErrorKind::Overloaded, "The requests in progress leave no memory for this one.",
                   Ran::No)
        .WithRetryAfter(kMemoryRetryAfter);
    }
    return std::nullopt;
  }

  static void ApplyIdleTimeout(const HttpServer& aServer, MHD_Connection* aConnection,
                               const HttpLimits& aLimits)
  {
    // The library checks connections with a timeout of their own one by one, so most share that of the server
    if (aLimits.idleTimeout > aServer.settings.limits.idleTimeout) {
      const auto seconds =
        std::min(std::chrono::ceil<Seconds>(aLimits.idleTimeout), kMaximumIdleTimeout);
      MHD_set_connection_option(aConnection, MHD_CONNECTION_OPTION_TIMEOUT,
                                static_cast<unsigned>(seconds.count()));
    }
  }

  static Error BodyTooLarge(const HttpLimits& aLimits)
  {
    return { ErrorKind::BodyTooLarge,
             fmt::format("The body exceeds the limit of {} bytes.", aLimits.maximumBodyBytes) };
  }

  static MHD_Result OnAccess(void* aServer, MHD_Connection* aConnection, const char* aUrl,
                             const char* aMethod, const char* aVersion, const char* aUpload,
                             size_t* aUploadSize, void** aContext)
  {
    auto& server = *static_cast<HttpServer*>(aServer);
    auto* incoming = static_cast<IncomingRequest*>(*aContext);
    if (incoming == nullptr) {
      return MHD_NO;
    }
    if (!incoming->begun) {
      return BeginRequest(server, aConnection, aUrl, aMethod, aVersion, *incoming);
    }
    // Collect the body
    if (*aUploadSize > 0) {
      return AppendBody(server, *incoming, { aUpload, std::exchange(*aUploadSize, 0) });
    }
    if (incoming->receivedBytes > incoming->limits->maximumBodyBytes) {
      return Refuse(aConnection, BodyTooLarge(*incoming->limits));
    }
    // Pass the complete request to the handler once
    if (!incoming->handedOver) {
      incoming->handedOver = true;
      auto hold = server.connections->OnRequestReceived(*incoming->connection);
      if (hold == nullptr) {
        return MHD_NO;
      }
      incoming->request.body = SharedBytes(std::move(incoming->body), std::move(hold));
      server.handler(std::move(incoming->request), incoming->exchange);
    }
    return QueueOrSuspend(server, aConnection, *incoming);
  }

  static MHD_Result AppendBody(const HttpServer& aServer, IncomingRequest& aIncoming,
                               std::string_view aBytes)
  {
    ConnectionTable& connections = *aServer.connections;
    std::string& body = aIncoming.body;
    const std::size_t limit = aIncoming.limits->maximumBodyBytes;
    aIncoming.receivedBytes += aBytes.size();
    if (aIncoming.receivedBytes > limit) {
      FreeString(body);
      const bool isOpen =
        connections.OnBodyReceived(*aIncoming.connection, aIncoming.receivedBytes, 0);
      return isOpen && aIncoming.receivedBytes <= limit * kMaximumOversizeFactor ? MHD_YES : MHD_NO;
    }
    const std::size_t needed = body.size() + aBytes.size();
    const bool grows = needed > body.capacity();
    const std::size_t capacity =
      grows ? GrownCapacity(needed, body.capacity(), aIncoming.expectedBytes) : body.capacity();
    if (!connections.OnBodyReceived(*aIncoming.connection, aIncoming.receivedBytes, capacity + 1)) {
      return MHD_NO;
    }
    if (grows) {
      Grow(body, capacity);
    }
    body.append(aBytes);
    return MHD_YES;
  }

  /// Queues the response if it is ready; otherwise suspends the connection until it is.
  static MHD_Result QueueOrSuspend(HttpServer& aServer, MHD_Connection* aConnection,
                                   const IncomingRequest& aIncoming)
  {
    const HttpExchangePtr& exchange = aIncoming.exchange;
    const std::scoped_lock lock(exchange->mutex);
    if (exchange->state == HttpExchange::State::Waiting) {
      // Aborted before a response began: close the connection
      if (exchange->aborted) {
        return MHD_NO;
      }
      exchange->suspended = true;
      MHD_suspend_connection(aConnection);
      return MHD_YES;
    }
    if (exchange->state != HttpExchange::State::Ready) {
      return MHD_YES;
    }
    if (exchange->isDiscarded) {
      return MHD_NO;
    }
    if (exchange->streamed && !aIncoming.readsChunks &&
        !BeginUndelimited(aServer, aConnection, exchange)) {
      return MHD_NO;
    }
    const ResponsePtr response = MakeResponse(aServer, exchange);
    for (const auto& [name, value] : exchange->headers) {
      MHD_add_response_header(response.get(), name.c_str(), value.c_str());
    }
    if (!aServer.listening || aServer.closingAfterResponses) {
      MHD_add_response_header(response.get(), "Connection", "close");
    }
    exchange->state = HttpExchange::State::Streaming;
    return MHD_queue_response(aConnection, static_cast<unsigned>(exchange->status), response.get());
  }

  /// Called with the mutex of the exchange held. @return false if the stream must not begin
  static bool BeginUndelimited(HttpServer& aServer, MHD_Connection* aConnection,
                               const HttpExchangePtr& aExchange)
  {
    const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr || !aServer.AddUndelimitedStream(aExchange)) {
      return false;
    }
    aExchange->resetOnClose.emplace(info->connect_fd);
    return true;
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
      EndUndelimited(exchange, !exchange.aborted);
      return exchange.aborted ? MHD_CONTENT_READER_END_WITH_ERROR
                              : MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    return 0;
  }

  /// Lets the connection of a stream without chunks end in an orderly way if the stream is complete, and resets it
  /// otherwise, before the library ends it in an orderly way. Called with the mutex of the exchange held.
  static void EndUndelimited(HttpExchange& aExchange, bool aIsComplete)
  {
    if (!aExchange.resetOnClose) {
      return;
    }
    if (aIsComplete) {
      aExchange.resetOnClose->Release();
    } else {
      aExchange.resetOnClose->Reset();
    }
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
      // A response without a body, or one that the library gave up, was not read to its end
      EndUndelimited(*incoming->exchange, aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
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
    if (!incoming->readsChunks) {
      static_cast<HttpServer*>(aServer)->RemoveUndelimitedStream(incoming->exchange);
    }
    static_cast<HttpServer*>(aServer)->connections->OnRequestEnded(*incoming->connection);
    --static_cast<HttpServer*>(aServer)->openExchanges;
  }
};

void
HttpServer::DaemonDeleter::operator()(MHD_Daemon* aDaemon) const
{
  MHD_stop_daemon(aDaemon);
}

HttpServer::HttpServer(HttpServerSettings aSettings, Handler aHandler,
                       std::shared_ptr<ConnectionTable> aConnections)
  : settings(std::move(aSettings))
  , handler(std::move(aHandler))
  , connections(aConnections != nullptr ? std::move(aConnections) : MakeOwnTable())
  , listener(this->connections->AddListener(
      { this->settings.maximumConnections, this->settings.connectionMemoryBytes }))
{
  this->SetLimits(this->settings.limits);
}

HttpServer::~HttpServer()
{
  this->Stop();
}

Result<void>
HttpServer::Start()
{
  const auto address = ToSocketAddress(this->settings.address, this->settings.port);
  if (!address) {
    return address.error();
  }
  auto socket = OpenListenSocket(SOCK_STREAM, address.value(), kAddressTimeout);
  if (!socket) {
    return socket.error();
  }
  const auto idleTimeout = std::chrono::ceil<Seconds>(this->settings.limits.idleTimeout);
  this->listening = true;
  this->daemon.reset(MHD_start_daemon(
    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, this->settings.port, nullptr, nullptr,
    &Callbacks::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, socket.value().Get(),
    MHD_OPTION_THREAD_POOL_SIZE, this->settings.threads > 1 ? this->settings.threads : 0U,
    MHD_OPTION_CONNECTION_LIMIT,
    std::max(this->settings.maximumConnections + kSpareConnections, this->settings.threads),
    MHD_OPTION_CONNECTION_MEMORY_LIMIT, this->settings.connectionMemoryBytes,
    MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idleTimeout.count()),
    MHD_OPTION_NOTIFY_CONNECTION, &Callbacks::OnConnection, this, MHD_OPTION_STRICT_FOR_CLIENT, 1,
    MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::OnTarget, this, MHD_OPTION_NOTIFY_COMPLETED,
    &Callbacks::OnCompleted, this, MHD_OPTION_END));
  if (this->daemon == nullptr) {
    return Error(ErrorKind::InvalidSettings,
                 fmt::format("Cannot serve on {}:{}: {}.", this->settings.address,
                             this->settings.port, std::strerror(errno)));
  }
  // The library closes it from here on
  static_cast<void>(socket.value().Release());
  return boost::outcome_v2::success();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  std::atomic_store(&this->limits, std::make_shared<const HttpLimits>(aLimits));
  this->connections->SetTimeouts(this->listener, aLimits.headTimeout, aLimits.bodyTimeout);
}

std::shared_ptr<const HttpLimits>
HttpServer::Limits() const
{
  return std::atomic_load(&this->limits);
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
  this->ResetUndelimitedStreams();
  this->daemon.reset();
  this->quiesced.Reset();
}

bool
HttpServer::AddUndelimitedStream(const HttpExchangePtr& aExchange)
{
  const std::scoped_lock lock(this->undelimitedMutex);
  if (this->acceptsUndelimitedStreams) {
    this->undelimitedStreams.insert(aExchange);
  }
  return this->acceptsUndelimitedStreams;
}

void
HttpServer::RemoveUndelimitedStream(const HttpExchangePtr& aExchange)
{
  const std::scoped_lock lock(this->undelimitedMutex);
  this->undelimitedStreams.erase(aExchange);
}

void
HttpServer::ResetUndelimitedStreams()
{
  std::unordered_set<HttpExchangePtr> streams;
  {
    const std::scoped_lock lock(this->undelimitedMutex);
    this->acceptsUndelimitedStreams = false;
    streams.swap(this->undelimitedStreams);
  }
  for (const HttpExchangePtr& stream : streams) {
    stream->ResetUndelimitedStream();
  }
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
