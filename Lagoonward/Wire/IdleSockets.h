#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <unordered_map>

namespace lagoonward {

/// The sockets of connections that libcurl keeps between two transfers. libcurl reuses a connection on which bytes have
/// arrived meanwhile, and takes them for the beginning of the next response; they belong to an extra response to an earlier
/// request. Used on one thread.
class IdleSockets
{
public:
  /// Makes libcurl report here when it closes the connection that a transfer opens. This object must outlive it.
  void Watch(CURL* aTransfer);

  /// Records the connection of a transfer that has ended, if it is still open.
  void Record(CURL* aTransfer);

  /// Whether bytes have arrived on an idle connection that is about to be reused. It then counts as in use.
  [[nodiscard]] bool ExtractHasUnreadBytes(int aLocalPort, int aRemotePort);

private:
  /// Of both ports. Connections to two hosts may share it; the check of the wrong one only costs a new connection.
  using Key = std::uint32_t;

  [[nodiscard]] static Key MakeKey(long aLocalPort, long aRemotePort);
  /// Called by libcurl in place of close().
  static int OnClose(void* aIdleSockets, curl_socket_t aSocket);

  std::unordered_map<Key, curl_socket_t> sockets;
};

/// Whether bytes have arrived on a socket that nothing has read.
[[nodiscard]] bool
HasUnreadBytes(curl_socket_t aSocket);

} // namespace lagoonward
