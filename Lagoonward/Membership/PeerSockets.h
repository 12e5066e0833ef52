#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <netinet/in.h>

#include <string>

namespace lagoonward {

/// The socket address of an IPv4 number. Error: InvalidSettings.
[[nodiscard]] Result<sockaddr_in>
ToSocketAddress(const std::string& aAddress, std::uint16_t aPort);

/// A UDP socket and a TCP listener, both non-blocking, on one address and port.
struct PeerSockets
{
  UniqueFd datagrams;
  UniqueFd listener;
  std::uint16_t port = 0;

  /// Binds both. Port 0 takes one that is free for both. Error: InvalidSettings.
  [[nodiscard]] static Result<PeerSockets> Open(const std::string& aAddress, std::uint16_t aPort);
};

/// Begins a non-blocking connect. Errors: InvalidSettings, PlatformUnavailable.
[[nodiscard]] Result<UniqueFd>
BeginConnect(const std::string& aAddress, std::uint16_t aPort);

/// Sends what is written at once: frames are small and wait for answers.
void
DisableSendDelay(const UniqueFd& aSocket);

} // namespace lagoonward
