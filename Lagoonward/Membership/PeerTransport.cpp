#include "Lagoonward/Membership/PeerTransport.h"

#include "Lagoonward/Membership/FrameCodec.h"
#include "Lagoonward/Membership/PeerSockets.h"

#include <sodium.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>

namespace lagoonward {

namespace {

constexpr std::uint64_t kDatagramHeaderBytes = 28;
constexpr int kAcceptsPerWake = 16;
constexpr std::size_t kConnectionNonceBytes = 16;
constexpr Milliseconds kExpiryCheckInterval{ 1000 };

std::string
GenerateNonce()
{
  std::string nonce(kConnectionNonceBytes, '\0');
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

constexpr std::string_view kTooLarge = "the message is larger than one between daemons may be";

} // namespace

PeerTransport::PeerTransport(ControlLoop& aLoop, const Clock& aClock, PeerKey aSelf,
                             std::uint64_t aSession, KeyRing aKeys, PeerTransportSettings aSettings)
  : loop(aLoop)
  , clock(aClock)
  , self(aSelf)
  , session(aSession)
  , keys(std::move(aKeys))
  , settings(aSettings)
  , log("peers")
{
}

PeerTransport::~PeerTransport() = default;

Result<void>
PeerTransport::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  auto sockets = PeerSockets::Open(aAddress, aPort);
  if (!sockets) {
    return sockets.error();
  }
  this->datagramSocket = std::move(sockets.value().datagrams);
  this->listener = std::move(sockets.value().listener);
  this->port = sockets.value().port;
  auto watchResult = this->loop.Watch(this->datagramSocket.Get(), EPOLLIN,
                                      [this](std::uint32_t) { this->ReadDatagrams(); });
  if (watchResult) {
    watchResult = this->loop.Watch(this->listener.Get(), EPOLLIN,
                                   [this](std::uint32_t) { this->AcceptConnections(); });
  }
  this->expiryTimer =
    this->loop.Every(kExpiryCheckInterval, [this] { this->CloseExpiredConnections(); });
  return watchResult;
}

void
PeerTransport::Close()
{
  while (!this->connections.empty()) {
    this->CloseConnection(this->connections.begin()->first);
  }
  this->loop.Cancel(this->expiryTimer);
  if (this->listener.IsValid()) {
    this->loop.Unwatch(this->listener.Get());
    this->loop.Unwatch(this->datagramSocket.Get());
  }
  this->listener.Reset();
  this->datagramSocket.Reset();
}

void
PeerTransport::OnDatagram(DatagramHandler aHandler)
{
  this->datagramHandler = std::move(aHandler);
}

void
PeerTransport::OnRequest(RequestType aType, RequestHandler aHandler)
{
  const bool isNew =
    this->requestHandlers.emplace(static_cast<std::uint16_t>(aType), std::move(aHandler)).second;
  // Two types with one number would share a handler
  assert(isNew);
  static_cast<void>(isNew);
}

void
PeerTransport::Send(const PeerAddress& aTo, const Datagram& aDatagram)
{
  const auto address = ToSocketAddress(aTo.address, aTo.port);
  if (!address) {
    return;
  }
  DatagramHeader header;
  header.sender = this->self;
  header.session = this->session;
  header.sequence = this->nextSequence++;
  header.sentAt = static_cast<std::uint32_t>(ToUnixMilliseconds(this->clock.WallNow()) / 1000);
  const std::string bytes = SealDatagram(this->keys, aTo.key, header, aDatagram);
  if (bytes.size() > this->settings.maximumDatagram) {
    this->log.Error("dropped an outgoing datagram of {} bytes: larger than the configured maximum.",
                    bytes.size());
    return;
  }
  const auto sent =
    ::sendto(this->datagramSocket.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address.value()), sizeof(address.value()));
  if (sent >= 0) {
    ++this->counters.datagramsSent;
    this->counters.datagramBytesSent += bytes.size() + kDatagramHeaderBytes;
  }
}

void
PeerTransport::ReadDatagrams()
{
  std::array<char, 2048> buffer;
  for (std::size_t count = 0; count < this->settings.datagramsPerWakeup; ++count) {
    const auto size = ::recv(this->datagramSocket.Get(), buffer.data(), buffer.size(), 0);
    if (size < 0) {
      // The kernel reports an ICMP error of an earlier send once, on this call; it does not concern this read
      if (errno == ECONNREFUSED) {
        continue;
      }
      return;
    }
    ++this->counters.datagramsReceived;
    this->counters.datagramBytesReceived += static_cast<std::uint64_t>(size) + kDatagramHeaderBytes;
    this->HandleDatagram({ buffer.data(), static_cast<std::size_t>(size) });
  }
}

void
PeerTransport::HandleDatagram(std::string_view aBytes)
{
  const auto opened = OpenDatagram(this->keys, this->self, aBytes);
  if (!opened) {
    ++this->counters.datagramsRefused;
    this->log.Debug("rejected a datagram: {}.", opened.error().message);
    return;
  }
  // The replay window is lost when this daemon restarts; the check of the sender's time limits what can be replayed
  // then
  const DatagramHeader& header = opened.value().header;
  const std::int64_t localTime = ToUnixMilliseconds(this->clock.WallNow()) / 1000;
  const bool isTimely =
    std::abs(localTime - header.sentAt) <= this->settings.clockTolerance.count();
  if (header.sender == this->self || !isTimely ||
      !this->replayGuard.Accept(header.sender, header.session, header.sequence,
                                this->clock.Now())) {
    ++this->counters.datagramsRefused;
    this->log.Debug(
      "rejected a datagram: replayed, sent by this daemon, or outside the clock tolerance.");
    return;
  }
  if (this->datagramHandler) {
    this->datagramHandler(header.sender, opened.value().body);
  }
}

void
PeerTransport::AcceptConnections()
{
  for (int count = 0; count < kAcceptsPerWake; ++count) {
    UniqueFd socket(
      ::accept4(this->listener.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.IsValid()) {
      if (errno == EMFILE || errno == ENFILE) {
        this->PauseAccepting();
      }
      return;
    }
    const std::size_t accepted = this->connections.size() - this->outgoing.size();
    if (accepted >= this->settings.maximumConnections && !this->CloseUnauthenticated()) {
      continue;
    }
    auto added = this->AddConnection(std::move(socket), PeerConnection::Side::Accepting, 0);
    if (added) {
      this->Flush(added.value());
    }
  }
}

bool
PeerTransport::CloseUnauthenticated()
{
  std::optional<std::uint64_t> oldest;
  for (const auto& [number, each] : this->connections) {
    const bool isCandidate = each.peer == 0 && !each.stream->IsAuthenticated();
    if (isCandidate && (!oldest || number < *oldest)) {
      oldest = number;
    }
  }
  if (!oldest) {
    return false;
  }
  this->CloseConnection(*oldest);
  return true;
}

void
PeerTransport::PauseAccepting()
{
  // The connection in the backlog would wake the loop continuously until a descriptor is free
  this->log.Warning("no file descriptor is free for a new connection; accepting is paused.");
  this->loop.ChangeEvents(this->listener.Get(), 0);
  this->loop.After(this->settings.acceptPause, [this] {
    if (this->listener.IsValid()) {
      this->loop.ChangeEvents(this->listener.Get(), EPOLLIN);
    }
  });
}

Result<std::uint64_t>
PeerTransport::ConnectTo(const PeerAddress& aTo)
{
  auto socket = BeginConnect(aTo.address, aTo.port);
  if (!socket) {
    return socket.error();
  }
  auto number =
    this->AddConnection(std::move(socket.value()), PeerConnection::Side::Connecting, aTo.key);
  if (number) {
    this->outgoing[aTo.key] = number.value();
  }
  return number;
}

Result<std::uint64_t>
PeerTransport::AddConnection(UniqueFd aSocket, PeerConnection::Side aSide, PeerKey aPeer)
{
  DisableNagleAlgorithm(aSocket);
  const int descriptor = aSocket.Get();
  const std::uint64_t number = this->nextConnection++;
  auto stream = std::make_unique<PeerConnection>(
    std::move(aSocket), aSide, this->keys, this->settings, this->clock.Now(),
    aSide == PeerConnection::Side::Accepting ? GenerateNonce() : std::string());
  auto watchResult = this->loop.Watch(descriptor, EPOLLIN, [this, number](std::uint32_t aEvents) {
    this->HandleEvents(number, aEvents);
  });
  if (!watchResult) {
    return watchResult.error();
  }
  this->connections.emplace(number, Connection{ std::move(stream), aPeer });
  return number;
}

void
PeerTransport::HandleEvents(std::uint64_t aConnection, std::uint32_t aEvents)
{
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  std::vector<Frame> frames;
  const bool isHealthy =
    (aEvents & EPOLLIN) == 0 || found->second.stream->Read(this->clock.Now(), frames);
  this->counters.streamBytesReceived += found->second.stream->TakeReceivedBytes();
  for (const Frame& frame : frames) {
    this->HandleFrame(aConnection, frame);
  }
  const bool hasErrorEvent = (aEvents & (EPOLLERR | EPOLLHUP)) != 0;
  if (!isHealthy || (hasErrorEvent && (aEvents & EPOLLIN) == 0)) {
    this->CloseConnection(aConnection);
    return;
  }
  this->Flush(aConnection);
}

void
PeerTransport::Flush(std::uint64_t aConnection)
{
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  PeerConnection& stream = *found->second.stream;
  const bool isHealthy = stream.Write();
  this->counters.streamBytesSent += stream.TakeSentBytes();
  if (!isHealthy) {
    this->CloseConnection(aConnection);
    return;
  }
  const std::uint32_t writeEvent = stream.WantsToWrite() ? EPOLLOUT : 0U;
  this->loop.ChangeEvents(stream.Descriptor(), EPOLLIN | writeEvent);
}

void
PeerTransport::Transmit(std::uint64_t aConnection, const Frame& aFrame)
{
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  if (!found->second.stream->Queue(aFrame, this->clock.Now())) {
    this->log.Warning(
      "closed a daemon's connection: it reads too slowly and the send queue is full.");
    this->CloseConnection(aConnection);
    return;
  }
  this->Flush(aConnection);
}

void
PeerTransport::Request(const PeerAddress& aTo, RequestType aType, std::string aBytes,
                       Milliseconds aTimeout, ResponseHandler aHandler)
{
  if (!this->CheckSize("request", static_cast<std::uint16_t>(aType), aBytes.size())) {
    ++this->counters.requestsFailed;
    aHandler(Error(ErrorKind::PlatformUnavailable, std::string(kTooLarge)));
    return;
  }
  const auto open = this->outgoing.find(aTo.key);
  const auto connection =
    open != this->outgoing.end() ? Result<std::uint64_t>(open->second) : this->ConnectTo(aTo);
  if (!connection) {
    ++this->counters.requestsFailed;
    aHandler(connection.error());
    return;
  }
  const std::uint64_t number = this->nextRequest++;
  const auto timer = this->loop.After(aTimeout, [this, number] { this->OnRequestTimeout(number); });
  this->pending.emplace(number, PendingRequest{ std::move(aHandler), connection.value(), timer });
  this->Transmit(connection.value(), Frame{ FrameKind::Request, this->self, number,
                                            static_cast<std::uint16_t>(aType), std::move(aBytes) });
}

bool
PeerTransport::CheckSize(std::string_view aWhat, std::uint16_t aType, std::size_t aBytes)
{
  if (aBytes <= this->MaximumBytes()) {
    return true;
  }
  ++this->counters.tooLarge;
  this->log.Event(LogLevel::Warning, "message_too_large",
                  { { "kind", aWhat },
                    { "type", aType },
                    { "bytes", aBytes },
                    { "maximum", this->MaximumBytes() } });
  return false;
}

void
PeerTransport::HandleFrame(std::uint64_t aConnection, const Frame& aFrame)
{
  switch (aFrame.kind) {
    case FrameKind::Request:
      this->HandleRequest(aConnection, aFrame);
      break;
    case FrameKind::Response:
    case FrameKind::Failure:
      this->HandleResponse(aFrame);
      break;
    case FrameKind::Hello:
      break;
  }
}

void
PeerTransport::HandleRequest(std::uint64_t aConnection, const Frame& aFrame)
{
  const auto handler = this->requestHandlers.find(aFrame.type);
  const Responder respond = this->MakeResponder(aConnection, aFrame);
  if (handler == this->requestHandlers.end()) {
    respond(Error(ErrorKind::UnknownPath, "no handler is registered for this request type"));
    return;
  }
  handler->second(aFrame.sender, aFrame.bytes, respond);
}

PeerTransport::Responder
PeerTransport::MakeResponder(std::uint64_t aConnection, const Frame& aRequest)
{
  return [this, handle = this->loop.Handle(), sender = this->self, aConnection,
          number = aRequest.number, type = aRequest.type](const Result<std::string>& aResponse) {
    Frame frame;
    frame.number = number;
    frame.sender = sender;
    if (aResponse) {
      frame.kind = FrameKind::Response;
      frame.bytes = aResponse.value();
    } else {
      frame.kind = FrameKind::Failure;
      frame.type = static_cast<std::uint16_t>(aResponse.error().kind);
      frame.bytes = aResponse.error().message;
    }
    handle->Post([this, aConnection, frame, type] { this->Respond(aConnection, frame, type); });
  };
}

void
PeerTransport::Respond(std::uint64_t aConnection, Frame aFrame, std::uint16_t aRequestType)
{
  if (!this->CheckSize("response", aRequestType, aFrame.bytes.size())) {
    // The request may have run
    aFrame.kind = FrameKind::Failure;
    aFrame.type = static_cast<std::uint16_t>(ErrorKind::EndpointFailed);
    aFrame.bytes = kTooLarge;
  }
  this->Transmit(aConnection, aFrame);
}

void
PeerTransport::HandleResponse(const Frame& aFrame)
{
  if (aFrame.kind == FrameKind::Response) {
    this->CompleteRequest(aFrame.number, aFrame.bytes);
    return;
  }
  const bool isKnown = aFrame.type < GetErrorRules().size();
  const auto kind = isKnown ? static_cast<ErrorKind>(aFrame.type) : ErrorKind::Internal;
  this->CompleteRequest(aFrame.number, Error(kind, aFrame.bytes));
}

void
PeerTransport::CompleteRequest(std::uint64_t aRequest, Result<std::string> aResponse)
{
  auto node = this->pending.extract(aRequest);
  if (node.empty()) {
    return;
  }
  if (!aResponse) {
    ++this->counters.requestsFailed;
  }
  this->loop.Cancel(node.mapped().timer);
  node.mapped().handler(std::move(aResponse));
}

void
PeerTransport::OnRequestTimeout(std::uint64_t aRequest)
{
  const auto found = this->pending.find(aRequest);
  if (found == this->pending.end()) {
    return;
  }
  const std::uint64_t connection = found->second.connection;
  this->CompleteRequest(aRequest, Error(ErrorKind::DeadlineExceeded,
                                        "the daemon did not respond within the request timeout"));
  this->CloseConnection(connection);
}

void
PeerTransport::CloseConnection(std::uint64_t aConnection)
{
  auto node = this->connections.extract(aConnection);
  if (node.empty()) {
    return;
  }
  const Connection& connection = node.mapped();
  this->loop.Unwatch(connection.stream->Descriptor());
  const auto open = this->outgoing.find(connection.peer);
  if (open != this->outgoing.end() && open->second == aConnection) {
    this->outgoing.erase(open);
  }

  // Fails the pending requests of this connection. They are known not to have run only if the connection was
  // never established.
  const Error error = connection.stream->IsOpen()
                        ? Error(ErrorKind::EndpointFailed,
                                "the connection to the daemon was lost before a response arrived")
                        : Error(ErrorKind::PlatformUnavailable,
                                "the daemon cannot be reached: no connection was established");
  std::vector<std::uint64_t> failed;
  for (const auto& [number, request] : this->pending) {
    if (request.connection == aConnection) {
      failed.push_back(number);
    }
  }
  for (const std::uint64_t number : failed) {
    this->CompleteRequest(number, error);
  }
}

void
PeerTransport::CloseExpiredConnections()
{
  const TimePoint now = this->clock.Now();
  this->replayGuard.EvictBefore(now - 4 * this->settings.clockTolerance);
  std::vector<std::uint64_t> expired;
  for (const auto& [number, connection] : this->connections) {
    if (connection.stream->IsExpired(now)) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    this->CloseConnection(number);
  }
}

std::size_t
PeerTransport::MaximumBytes() const
{
  return this->settings.maximumFrame - kMaximumFrameOverhead;
}

std::uint16_t
PeerTransport::Port() const
{
  return this->port;
}

const TransportCounters&
PeerTransport::Counters() const
{
  return this->counters;
}

} // namespace lagoonward
