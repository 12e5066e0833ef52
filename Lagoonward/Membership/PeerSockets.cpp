#include "Lagoonward/Membership/PeerSockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace lagoonward {

namespace {

constexpr int kBindAttempts = 16;

UniqueFd
OpenSocket(int aType)
{
  return UniqueFd(::socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

Result<PeerSockets>
BindBoth(sockaddr_in aAddress, Milliseconds aTimeout)
{
  PeerSockets sockets;
  auto listener = OpenListenSocket(SOCK_STREAM, aAddress, aTimeout);
  if (!listener) {
    return listener.error();
  }
  sockets.listener = std::move(listener.value());
  // UDP uses the port that was assigned for TCP
  socklen_t length = sizeof(aAddress);
  ::getsockname(sockets.listener.Get(), reinterpret_cast<sockaddr*>(&aAddress), &length);
  auto datagrams = OpenListenSocket(SOCK_DGRAM, aAddress, aTimeout);
  if (!datagrams) {
    return datagrams.error();
  }
  sockets.datagrams = std::move(datagrams.value());
  sockets.port = ntohs(aAddress.sin_port);
  return sockets;
}

} // namespace

Result<PeerSockets>
PeerSockets::Open(const std::string& aAddress, std::uint16_t aPort)
{
  const auto address = ToSocketAddress(aAddress, aPort);
  if (!address) {
    return address.error();
  }
  const Milliseconds timeout = aPort == 0 ? Milliseconds(0) : kAddressTimeout;
  auto sockets = BindBoth(address.value(), timeout);
  // A port that is free for TCP may be in use for UDP: retry with other ports
  for (int attempt = 1; !sockets && aPort == 0 && attempt < kBindAttempts; ++attempt) {
    sockets = BindBoth(address.value(), timeout);
  }
  return sockets;
}

Result<UniqueFd>
BeginConnect(const std::string& aAddress, std::uint16_t aPort)
{
  const auto address = ToSocketAddress(aAddress, aPort);
  if (!address) {
    return address.error();
  }
  UniqueFd socket = OpenSocket(SOCK_STREAM);
  const int connected = ::connect(socket.Get(), reinterpret_cast<const sockaddr*>(&address.value()),
                                  sizeof(sockaddr_in));
  if (connected != 0 && errno != EINPROGRESS) {
    return Error(ErrorKind::PlatformUnavailable, "cannot start a TCP connection to the daemon");
  }
  return socket;
}

void
DisableNagleAlgorithm(const UniqueFd& aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace lagoonward
