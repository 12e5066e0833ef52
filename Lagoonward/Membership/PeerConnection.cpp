#include "Lagoonward/Membership/PeerConnection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace lagoonward {

namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kReadBytes = 16384;
constexpr int kReadsPerWake = 16;
constexpr std::uint64_t kSegmentHeaderBytes = 40;

bool
IsTransient(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

} // namespace

PeerConnection::PeerConnection(UniqueFd aSocket, Side aSide, const KeyRing& aKeys,
                               const PeerTransportSettings& aSettings, TimePoint aNow,
                               std::string aNonce)
  : socket(std::move(aSocket))
  , side(aSide)
  , keys(aKeys)
  , settings(aSettings)
  , nonce(std::move(aNonce))
  , lastActive(aNow)
  , partialSince(aNow)
{
  if (this->side == Side::Accepting) {
    this->outgoing = this->nonce;
  }
}

bool
PeerConnection::Queue(const Frame& aFrame, TimePoint aNow)
{
  const std::size_t unsent = this->outgoing.size() - this->written + this->unsealedBytes;
  if (unsent > this->settings.maximumQueuedBytes) {
    return false;
  }
  this->lastActive = aNow;
  if (!this->HasNonce()) {
    this->unsealedBytes += aFrame.bytes.size();
    this->unsealedFrames.push_back(aFrame);
    return true;
  }
  this->SealNext(aFrame);
  return true;
}

bool
PeerConnection::Read(TimePoint aNow, std::vector<Frame>& aFrames)
{
  std::array<char, kReadBytes> buffer;
  for (int round = 0; round < kReadsPerWake; ++round) {
    const auto count = ::recv(this->socket.Get(), buffer.data(), buffer.size(), 0);
    if (count == 0 || (count < 0 && !IsTransient(errno))) {
      return false;
    }
    if (count < 0) {
      break;
    }
    this->receivedBytes += static_cast<std::uint64_t>(count) + kSegmentHeaderBytes;
    this->lastActive = aNow;
    if (this->incoming.empty()) {
      this->partialSince = aNow;
    }
    this->incoming.append(buffer.data(), static_cast<std::size_t>(count));
    if (!this->ParseNonce() || !this->ParseFrames(aFrames)) {
      return false;
    }
  }
  return true;
}

bool
PeerConnection::Write()
{
  while (this->WantsToWrite()) {
    const auto count = ::send(this->socket.Get(), this->outgoing.data() + this->written,
                              this->outgoing.size() - this->written, MSG_NOSIGNAL);
    if (count < 0) {
      return IsTransient(errno) || errno == ENOTCONN;
    }
    this->written += static_cast<std::size_t>(count);
    this->sentBytes += static_cast<std::uint64_t>(count) + kSegmentHeaderBytes;
  }
  this->outgoing.clear();
  this->written = 0;
  return true;
}

bool
PeerConnection::IsExpired(TimePoint aNow) const
{
  // An unauthenticated peer must send its first frame in time; an authenticated one must complete a frame that it
  // has begun
  const bool incomplete = this->framesReceived == 0 || !this->incoming.empty();
  if (incomplete && aNow - this->partialSince > this->settings.frameTimeout) {
    return true;
  }
  return aNow - this->lastActive > this->settings.idleTimeout;
}

bool
PeerConnection::IsOpen() const
{
  return this->HasNonce();
}

bool
PeerConnection::WantsToWrite() const
{
  return this->written < this->outgoing.size();
}

int
PeerConnection::Descriptor() const
{
  return this->socket.Get();
}

std::uint64_t
PeerConnection::TakeSentBytes()
{
  return std::exchange(this->sentBytes, 0);
}

std::uint64_t
PeerConnection::TakeReceivedBytes()
{
  return std::exchange(this->receivedBytes, 0);
}

bool
PeerConnection::HasNonce() const
{
  return this->nonce.size() == kNonceBytes;
}

bool
PeerConnection::ParseNonce()
{
  if (this->HasNonce() || this->incoming.size() < kNonceBytes) {
    return true;
  }
  this->nonce = this->incoming.substr(0, kNonceBytes);
  this->incoming.erase(0, kNonceBytes);

  // Frames queued before the nonce arrived can be sealed now
  for (const Frame& frame : this->unsealedFrames) {
    this->SealNext(frame);
  }
  this->unsealedFrames.clear();
  this->unsealedBytes = 0;
  return this->Write();
}

bool
PeerConnection::ParseFrames(std::vector<Frame>& aFrames)
{
  if (!this->HasNonce()) {
    return true;
  }
  std::size_t position = 0;
  while (this->incoming.size() - position >= kFrameLengthBytes) {
    const std::string_view rest = std::string_view(this->incoming).substr(position);
    const std::size_t length = ReadFrameLength(rest);
    if (length > this->FrameLimit()) {
      return false;
    }
    if (rest.size() < kFrameLengthBytes + length) {
      break;
    }
    const FrameContext context{ this->nonce, this->side == Side::Accepting, this->framesReceived };
    auto frame = OpenFrame(this->keys, context, rest.substr(kFrameLengthBytes, length));
    if (!frame) {
      return false;
    }
    ++this->framesReceived;
    aFrames.push_back(std::move(frame.value()));
    position += kFrameLengthBytes + length;
    this->partialSince = this->lastActive;
  }
  this->incoming.erase(0, position);
  return true;
}

std::size_t
PeerConnection::FrameLimit() const
{
  return this->framesReceived == 0 && this->side == Side::Accepting
           ? this->settings.maximumFirstFrame
           : this->settings.maximumFrame;
}

void
PeerConnection::SealNext(const Frame& aFrame)
{
  // The accepting side closes the connection on a first frame over maximumFirstFrame, since the sender is not
  // authenticated yet. A retry on a new connection would fail alike, so a small frame is sent first.
  const std::size_t size = aFrame.bytes.size() + kMaximumFrameOverhead;
  if (this->framesSent == 0 && this->side == Side::Connecting &&
      size > this->settings.maximumFirstFrame) {
    this->Seal(Frame{ FrameKind::Hello, aFrame.sender, 0, 0, {} });
  }
  this->Seal(aFrame);
}

void
PeerConnection::Seal(const Frame& aFrame)
{
  const FrameContext context{ this->nonce, this->side == Side::Connecting, this->framesSent };
  const std::string bytes = SealFrame(this->keys, context, aFrame);
  this->outgoing += WriteFrameLength(bytes.size());
  this->outgoing += bytes;
  ++this->framesSent;
}

} // namespace lagoonward
