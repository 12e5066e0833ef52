#include "Lagoonward/Membership/PeerTransport.h"

#include "Lagoonward/Membership/FrameCodec.h"
#include "Lagoonward/Membership/PeerSockets.h"

#include <sodium.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace lagoonward {

namespace {

constexpr std::uint64_t kDatagramHeaderBytes = 28;
constexpr int kAcceptsPerWake = 16;
constexpr std::size_t kConnectionNonceBytes = 16;
constexpr Milliseconds kSweepInterval{ 1000 };

std::string
DrawNonce()
{
  std::string nonce(kConnectionNonceBytes, '\0');
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

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
  auto watched = this->loop.Watch(this->datagramSocket.Get(), EPOLLIN,
                                  [this](std::uint32_t) { this->ReadDatagrams(); });
  if (watched) {
    watched = this->loop.Watch(this->listener.Get(), EPOLLIN,
                               [this](std::uint32_t) { this->AcceptConnections(); });
  }
  this->sweepTimer = this->loop.Every(kSweepInterval, [this] { this->Sweep(); });
  return watched;
}

void
PeerTransport::Close()
{
  while (!this->connections.empty()) {
    this->CloseConnection(this->connections.begin()->first);
  }
  this->loop.Cancel(this->sweepTimer);
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
  this->requestHandlers[static_cast<std::uint16_t>(aType)] = std::move(aHandler);
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
    this->log.Error("a datagram of {} bytes is over the limit and was dropped.", bytes.size());
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
  for (std::size_t count = 0; count < this->settings.datagramsPerWake; ++count) {
    const auto size = ::recv(this->datagramSocket.Get(), buffer.data(), buffer.size(), 0);
    if (size < 0) {
      // An ICMP error of an earlier send is reported here once; it says nothing about this read
      if (errno == ECONNREFUSED) {
        continue;
      }
      return;
    }
    ++this->counters.datagramsReceived;
    this->counters.datagramBytesReceived += static_cast<std::uint64_t>(size) + kDatagramHeaderBytes;
    this->TakeDatagram({ buffer.data(), static_cast<std::size_t>(size) });
  }
}

void
PeerTransport::TakeDatagram(std::string_view aBytes)
{
  const auto opened = OpenDatagram(this->keys, this->self, aBytes);
  if (!opened) {
    ++this->counters.datagramsRefused;
    this->log.Debug("a datagram was refused: {}.", opened.error().message);
    return;
  }
  // The window forgets with a restart of this daemon; the sender's time bounds what is left
  const DatagramHeader& header = opened.value().header;
  const std::int64_t here = ToUnixMilliseconds(this->clock.WallNow()) / 1000;
  const bool isTimely = std::abs(here - header.sentAt) <= this->settings.clockTolerance.count();
  if (header.sender == this->self || !isTimely ||
      !this->replays.Accept(header.sender, header.session, header.sequence, this->clock.Now())) {
    ++this->counters.datagramsRefused;
    this->log.Debug("a datagram was refused: repeated, or its time is off.");
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
    if (this->connections.size() - this->outgoing.size() >= this->settings.maximumConnections) {
      continue;
    }
    auto added = this->AddConnection(std::move(socket), PeerConnection::Side::Accepting, 0);
    if (added) {
      this->Flush(added.value());
    }
  }
}

void
PeerTransport::PauseAccepting()
{
  // The waiting connection would wake the loop again and again until a descriptor is free
  this->log.Warning("no descriptor is left for a connection; accepting pauses.");
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
  DisableSendDelay(aSocket);
  const int descriptor = aSocket.Get();
  const std::uint64_t number = this->nextConnection++;
  auto stream = std::make_unique<PeerConnection>(
    std::move(aSocket), aSide, this->keys, this->settings, this->clock.Now(),
    aSide == PeerConnection::Side::Accepting ? DrawNonce() : std::string());
  auto watched = this->loop.Watch(
    descriptor, EPOLLIN, [this, number](std::uint32_t aEvents) { this->Serve(number, aEvents); });
  if (!watched) {
    return watched.error();
  }
  this->connections.emplace(number, Connection{ std::move(stream), aPeer });
  return number;
}

void
PeerTransport::Serve(std::uint64_t aConnection, std::uint32_t aEvents)
{
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  std::vector<Frame> frames;
  const bool healthy =
    (aEvents & EPOLLIN) == 0 || found->second.stream->Read(this->clock.Now(), frames);
  this->counters.streamBytesReceived += found->second.stream->TakeReceivedBytes();
  for (const Frame& frame : frames) {
    this->TakeFrame(aConnection, frame);
  }
  const bool broken = (aEvents & (EPOLLERR | EPOLLHUP)) != 0;
  if (!healthy || (broken && (aEvents & EPOLLIN) == 0)) {
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
  const bool healthy = stream.Write();
  this->counters.streamBytesSent += stream.TakeSentBytes();
  if (!healthy) {
    this->CloseConnection(aConnection);
    return;
  }
  const std::uint32_t writing = stream.WantsToWrite() ? EPOLLOUT : 0U;
  this->loop.ChangeEvents(stream.Descriptor(), EPOLLIN | writing);
}

void
PeerTransport::Transmit(std::uint64_t aConnection, const Frame& aFrame)
{
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  if (!found->second.stream->Queue(aFrame, this->clock.Now())) {
    this->log.Warning("a daemon reads too slowly; its connection is closed.");
    this->CloseConnection(aConnection);
    return;
  }
  this->Flush(aConnection);
}

void
PeerTransport::Request(const PeerAddress& aTo, RequestType aType, std::string aBytes,
                       Milliseconds aTimeout, AnswerHandler aHandler)
{
  const auto open = this->outgoing.find(aTo.key);
  const auto connection =
    open != this->outgoing.end() ? Result<std::uint64_t>(open->second) : this->ConnectTo(aTo);
  if (!connection) {
    ++this->counters.requestsFailed;
    aHandler(connection.error());
    return;
  }
  const std::uint64_t number = this->nextRequest++;
  const auto timer = this->loop.After(aTimeout, [this, number] { this->Expire(number); });
  this->pending.emplace(number, Pending{ std::move(aHandler), connection.value(), timer });
  this->Transmit(connection.value(), Frame{ FrameKind::Request, this->self, number,
                                            static_cast<std::uint16_t>(aType), std::move(aBytes) });
}

void
PeerTransport::TakeFrame(std::uint64_t aConnection, const Frame& aFrame)
{
  switch (aFrame.kind) {
    case FrameKind::Request:
      this->TakeRequest(aConnection, aFrame);
      break;
    case FrameKind::Answer:
    case FrameKind::Failure:
      this->TakeAnswer(aFrame);
      break;
    case FrameKind::Opening:
      break;
  }
}

void
PeerTransport::TakeRequest(std::uint64_t aConnection, const Frame& aFrame)
{
  const auto handler = this->requestHandlers.find(aFrame.type);
  const Respond respond = this->MakeRespond(aConnection, aFrame.number);
  if (handler == this->requestHandlers.end()) {
    respond(Error(ErrorKind::UnknownPath, "this daemon does not know that request"));
    return;
  }
  handler->second(aFrame.sender, aFrame.bytes, respond);
}

PeerTransport::Respond
PeerTransport::MakeRespond(std::uint64_t aConnection, std::uint64_t aRequest)
{
  return [this, handle = this->loop.Handle(), sender = this->self, aConnection,
          aRequest](const Result<std::string>& aAnswer) {
    Frame frame;
    frame.number = aRequest;
    frame.sender = sender;
    if (aAnswer) {
      frame.kind = FrameKind::Answer;
      frame.bytes = aAnswer.value();
    } else {
      frame.kind = FrameKind::Failure;
      frame.type = static_cast<std::uint16_t>(aAnswer.error().kind);
      frame.bytes = aAnswer.error().message;
    }
    handle->Post([this, aConnection, frame] { this->Transmit(aConnection, frame); });
  };
}

void
PeerTransport::TakeAnswer(const Frame& aFrame)
{
  if (aFrame.kind == FrameKind::Answer) {
    this->Finish(aFrame.number, aFrame.bytes);
    return;
  }
  const bool isKnown = aFrame.type < GetErrorRules().size();
  const auto kind = isKnown ? static_cast<ErrorKind>(aFrame.type) : ErrorKind::Internal;
  this->Finish(aFrame.number, Error(kind, aFrame.bytes));
}

void
PeerTransport::Finish(std::uint64_t aRequest, Result<std::string> aAnswer)
{
  auto node = this->pending.extract(aRequest);
  if (node.empty()) {
    return;
  }
  if (!aAnswer) {
    ++this->counters.requestsFailed;
  }
  this->loop.Cancel(node.mapped().timer);
  node.mapped().handler(std::move(aAnswer));
}

void
PeerTransport::Expire(std::uint64_t aRequest)
{
  const auto found = this->pending.find(aRequest);
  if (found == this->pending.end()) {
    return;
  }
  const std::uint64_t connection = found->second.connection;
  this->Finish(aRequest, Error(ErrorKind::DeadlineExceeded, "the daemon did not answer in time"));
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

  // Requests on it are over; only one that never got through is known not to have been carried out
  const Error error = connection.stream->IsOpen()
                        ? Error(ErrorKind::EndpointFailed, "the daemon's connection broke")
                        : Error(ErrorKind::PlatformUnavailable, "the daemon cannot be reached");
  std::vector<std::uint64_t> lost;
  for (const auto& [number, request] : this->pending) {
    if (request.connection == aConnection) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    this->Finish(number, error);
  }
}

void
PeerTransport::Sweep()
{
  const TimePoint now = this->clock.Now();
  this->replays.Forget(now - 4 * this->settings.clockTolerance);
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
