#pragma once

#include "Lagoonward/Core/ListenSocket.h"

#include <string>

namespace lagoonward {

/// A UDP socket and a TCP listener, both non-blocking, on one address and port.
struct PeerSockets
{
  UniqueFd datagrams;
  UniqueFd listener;
  std::uint16_t port = 0;

  /// Binds both sockets. Port 0 selects a port that is free for both; another port that is not free is waited for, up to
  /// kAddressTimeout. Error: InvalidSettings.
  [[nodiscard]] static Result<PeerSockets> Open(const std::string& aAddress, std::uint16_t aPort);
};

/// Starts a non-blocking connect. Errors: InvalidSettings, PlatformUnavailable.
[[nodiscard]] Result<UniqueFd>
BeginConnect(const std::string& aAddress, std::uint16_t aPort);

/// Sets TCP_NODELAY: frames are small and senders wait for responses.
void
DisableNagleAlgorithm(const UniqueFd& aSocket);

} // namespace lagoonward
