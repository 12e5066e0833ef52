#include "Lagoonward/Wire/IdleSockets.h"

#include <sys/socket.h>
#include <unistd.h>

namespace lagoonward {

namespace {

constexpr unsigned kPortBits = 16;

} // namespace

void
IdleSockets::Watch(CURL* aTransfer)
{
  curl_easy_setopt(aTransfer, CURLOPT_CLOSESOCKETFUNCTION, &IdleSockets::OnClose);
  curl_easy_setopt(aTransfer, CURLOPT_CLOSESOCKETDATA, this);
}

int
IdleSockets::OnClose(void* aIdleSockets, curl_socket_t aSocket)
{
  auto& idle = *static_cast<IdleSockets*>(aIdleSockets);
  std::erase_if(idle.sockets, [aSocket](const auto& aEach) { return aEach.second == aSocket; });
  return ::close(aSocket);
}

IdleSockets::Key
IdleSockets::MakeKey(long aLocalPort, long aRemotePort)
{
  return static_cast<Key>(aLocalPort) << kPortBits | static_cast<Key>(aRemotePort);
}

void
IdleSockets::Record(CURL* aTransfer)
{
  curl_socket_t socket = CURL_SOCKET_BAD;
  long localPort = 0;
  long remotePort = 0;
  curl_easy_getinfo(aTransfer, CURLINFO_ACTIVESOCKET, &socket);
  curl_easy_getinfo(aTransfer, CURLINFO_LOCAL_PORT, &localPort);
  curl_easy_getinfo(aTransfer, CURLINFO_PRIMARY_PORT, &remotePort);
  if (socket != CURL_SOCKET_BAD) {
    this->sockets[MakeKey(localPort, remotePort)] = socket;
  }
}

bool
IdleSockets::ExtractHasUnreadBytes(int aLocalPort, int aRemotePort)
{
  const auto found = this->sockets.extract(MakeKey(aLocalPort, aRemotePort));
  return !found.empty() && HasUnreadBytes(found.mapped());
}

bool
HasUnreadBytes(curl_socket_t aSocket)
{
  char first = 0;
  return ::recv(aSocket, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace lagoonward
