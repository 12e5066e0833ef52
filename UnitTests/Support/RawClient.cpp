#include "UnitTests/Support/RawClient.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace lagoonward::testing {

namespace {

constexpr int kReadTimeoutMilliseconds = 10'000;

} // namespace

RawClient::RawClient(std::uint16_t aPort)
  : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(this->socket.Get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::abort();
  }
}

void
RawClient::Send(std::string_view aBytes)
{
  static_cast<void>(::send(this->socket.Get(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
}

std::string
RawClient::Read(std::string_view aUntil)
{
  std::string received;
  std::array<char, 4096> buffer{};
  while (aUntil.empty() || received.find(aUntil) == std::string::npos) {
    const std::size_t count = this->Receive(buffer);
    if (count == 0) {
      break;
    }
    received.append(buffer.data(), count);
  }
  return received;
}

std::size_t
RawClient::Skip(std::size_t aBytes)
{
  std::size_t received = 0;
  std::array<char, 4096> buffer{};
  while (received < aBytes) {
    const std::size_t count = this->Receive(buffer);
    if (count == 0) {
      break;
    }
    received += count;
  }
  return received;
}

std::size_t
RawClient::Receive(std::span<char> aBuffer)
{
  this->wasReset = false;
  pollfd descriptor{ this->socket.Get(), POLLIN, 0 };
  if (::poll(&descriptor, 1, kReadTimeoutMilliseconds) <= 0) {
    return 0;
  }
  const ssize_t count = ::recv(this->socket.Get(), aBuffer.data(), aBuffer.size(), 0);
  this->wasReset = count < 0 && errno == ECONNRESET;
  return count < 0 ? 0 : static_cast<std::size_t>(count);
}

std::string
RawClient::ReadToEnd()
{
  return this->Read({});
}

void
RawClient::CloseSendingHalf()
{
  ::shutdown(this->socket.Get(), SHUT_WR);
}

void
RawClient::Close()
{
  this->socket.Reset();
}

} // namespace lagoonward::testing
