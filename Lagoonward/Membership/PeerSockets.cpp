#include "Lagoonward/Membership/PeerSockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace lagoonward {

namespace {

constexpr int kBindAttempts = 16;
constexpr int kListenBacklog = 128;

UniqueFd
OpenSocket(int aType)
{
  return UniqueFd(::socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool
BindTo(const UniqueFd& aSocket, const sockaddr_in& aAddress)
{
  return aSocket.IsValid() &&
         ::bind(aSocket.Get(), reinterpret_cast<const sockaddr*>(&aAddress), sizeof(aAddress)) == 0;
}

Result<PeerSockets>
BindBoth(sockaddr_in aAddress)
{
  PeerSockets sockets;
  sockets.listener = OpenSocket(SOCK_STREAM);
  const int on = 1;
  ::setsockopt(sockets.listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!BindTo(sockets.listener, aAddress) ||
      ::listen(sockets.listener.Get(), kListenBacklog) != 0) {
    return Error(ErrorKind::InvalidSettings, "cannot bind the TCP listener to the peer address");
  }
  // UDP uses the port that was assigned for TCP
  socklen_t length = sizeof(aAddress);
  ::getsockname(sockets.listener.Get(), reinterpret_cast<sockaddr*>(&aAddress), &length);
  sockets.datagrams = OpenSocket(SOCK_DGRAM);
  if (!BindTo(sockets.datagrams, aAddress)) {
    return Error(ErrorKind::InvalidSettings, "cannot bind the UDP socket to the peer port");
  }
  sockets.port = ntohs(aAddress.sin_port);
  return sockets;
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

Result<PeerSockets>
PeerSockets::Open(const std::string& aAddress, std::uint16_t aPort)
{
  const auto address = ToSocketAddress(aAddress, aPort);
  if (!address) {
    return address.error();
  }
  auto sockets = BindBoth(address.value());
  // A port that is free for TCP may be in use for UDP: retry with other ports
  for (int attempt = 1; !sockets && aPort == 0 && attempt < kBindAttempts; ++attempt) {
    sockets = BindBoth(address.value());
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
