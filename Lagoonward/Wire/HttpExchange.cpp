#include "Lagoonward/Wire/HttpExchange.h"

#include "Lagoonward/Core/StringMemory.h"

#include <microhttpd.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>

#include <utility>

namespace lagoonward {

namespace {

/// Maximum number of bytes buffered for a slow caller; a Write() beyond it fails.
constexpr std::size_t kMaximumBufferedBytes = 4U << 20U;
/// Largest buffer of a stream that is kept for its next bytes.
constexpr std::size_t kMaximumIdleBytes = 16U << 10U;

bool
EqualsIgnoringCase(std::string_view aFirst, std::string_view aSecond)
{
  return aFirst.size() == aSecond.size() &&
         strncasecmp(aFirst.data(), aSecond.data(), aFirst.size()) == 0;
}

} // namespace

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  for (const auto& [name, value] : this->headers) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string_view
HttpRequest::Query(std::string_view aName) const
{
  for (const auto& [name, value] : this->query) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

HttpExchange::HttpExchange(MHD_Connection* aConnection)
  : connection(aConnection)
{
}

void
HttpExchange::Respond(int aStatus, std::vector<HttpHeader> aHeaders, std::string aBody)
{
  const std::scoped_lock lock(this->mutex);
  if (this->state != State::Waiting) {
    return;
  }
  this->status = aStatus;
  this->headers = std::move(aHeaders);
  this->bytes = std::move(aBody);
  this->state = State::Ready;
  this->ResumeLocked();
}

void
HttpExchange::BeginStream(int aStatus, std::vector<HttpHeader> aHeaders)
{
  const std::scoped_lock lock(this->mutex);
  if (this->state != State::Waiting) {
    return;
  }
  this->status = aStatus;
  this->headers = std::move(aHeaders);
  this->streamed = true;
  this->state = State::Ready;
  this->ResumeLocked();
}

bool
HttpExchange::Write(std::string_view aBytes)
{
  const std::scoped_lock lock(this->mutex);
  if (this->state == State::Done || !this->streamed || this->ended) {
    return false;
  }
  if (this->bytes.size() - this->sent + aBytes.size() > kMaximumBufferedBytes) {
    return false;
  }
  this->FreeSentLocked();
  this->bytes.append(aBytes);
  this->ResumeLocked();
  return true;
}

void
HttpExchange::EndStream()
{
  const std::scoped_lock lock(this->mutex);
  this->ended = true;
  this->ResumeLocked();
}

void
HttpExchange::AbortStream()
{
  const std::scoped_lock lock(this->mutex);
  this->aborted = true;
  this->ended = true;
  this->ResumeLocked();
}

void
HttpExchange::Discard()
{
  const std::scoped_lock lock(this->mutex);
  if (this->state == State::Done) {
    return;
  }
  if (this->state == State::Streaming && !this->streamed) {
    // The server sends from `bytes` until it notices
    const auto* info = MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
      ::shutdown(info->connect_fd, SHUT_RDWR);
    }
    return;
  }
  this->isDiscarded = this->state == State::Ready && !this->streamed;
  this->aborted = true;
  this->ended = true;
  FreeString(this->bytes);
  this->sent = 0;
  this->ResumeLocked();
}

void
HttpExchange::ResetUndelimitedStream()
{
  const std::scoped_lock lock(this->mutex);
  if (this->state != State::Done && this->resetOnClose) {
    this->resetOnClose->Reset();
  }
}

std::size_t
HttpExchange::HeldBytes()
{
  const std::scoped_lock lock(this->mutex);
  return HeapBytes(this->bytes);
}

void
HttpExchange::FreeSentLocked()
{
  const bool isSent = this->sent == this->bytes.size();
  if (isSent && this->bytes.capacity() > kMaximumIdleBytes) {
    FreeString(this->bytes);
    this->sent = 0;
  } else if (isSent || this->sent > this->bytes.size() / 2) {
    // Each byte is moved at most once on average
    this->bytes.erase(0, std::exchange(this->sent, 0));
  }
}

void
HttpExchange::OnCallerDisconnected(std::function<void()> aCallback)
{
  const std::scoped_lock lock(this->mutex);
  this->onCallerDisconnected = std::move(aCallback);
}

bool
HttpExchange::IsCallerDisconnected()
{
  const std::scoped_lock lock(this->mutex);
  if (this->state == State::Done) {
    return true;
  }
  // The server reports completion of a connection before it closes the descriptor, so the descriptor is valid here
  const auto* info = MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) {
    return false;
  }
  pollfd descriptor{};
  descriptor.fd = info->connect_fd;
  descriptor.events = POLLRDHUP;
  return ::poll(&descriptor, 1, 0) > 0 &&
         (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void
HttpExchange::ResumeLocked()
{
  if (this->suspended) {
    this->suspended = false;
    MHD_resume_connection(this->connection);
  }
}

} // namespace lagoonward
