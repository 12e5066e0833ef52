#include "Lagoonward/Core/ListenSocket.h"

#include "Lagoonward/Core/Log.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <thread>

namespace lagoonward {

namespace {

const Log kLog("listen");

/// Between two attempts to bind an address that is not free.
constexpr Milliseconds kAttemptInterval{ 50 };

std::string
Describe(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return fmt::format("{}:{}", text.data(), ntohs(aAddress.sin_port));
}

/// @return the socket, or none and errno
UniqueFd
TryToListen(int aType, const sockaddr_in& aAddress)
{
  UniqueFd socket(::socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.IsValid()) {
    return socket;
  }
  const bool accepts = aType == SOCK_STREAM;
  const int on = 1;
  if (accepts) {
    ::setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  const bool isBound = ::bind(socket.Get(), address, sizeof(aAddress)) == 0 &&
                       (!accepts || ::listen(socket.Get(), SOMAXCONN) == 0);
  const int error = errno;
  if (!isBound) {
    socket.Reset();
  }
  errno = error;
  return socket;
}

} // namespace

Result<sockaddr_in>
ToSocketAddress(const std::string& aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    return Error(ErrorKind::InvalidSettings, "expected an IPv4 address, got: " + aAddress);
  }
  return address;
}

Result<UniqueFd>
OpenListenSocket(int aType, const sockaddr_in& aAddress, Milliseconds aTimeout)
{
  for (Milliseconds waited{ 0 };; waited += kAttemptInterval) {
    UniqueFd socket = TryToListen(aType, aAddress);
    const int error = errno;
    if (socket.IsValid()) {
      if (waited > Milliseconds(0)) {
        kLog.Event(LogLevel::Warning, "address_was_not_free",
                   { { "address", Describe(aAddress) },
                     { "datagrams", aType == SOCK_DGRAM },
                     { "waited_ms", waited.count() } });
      }
      return socket;
    }
    const bool mayPass = error == EADDRINUSE || error == EADDRNOTAVAIL;
    if (!mayPass || waited >= aTimeout) {
      return Error(ErrorKind::InvalidSettings,
                   fmt::format("cannot listen on {} ({}): {}", Describe(aAddress),
                               aType == SOCK_DGRAM ? "UDP" : "TCP", std::strerror(error)));
    }
    std::this_thread::sleep_for(kAttemptInterval);
  }
}

} // namespace lagoonward
