#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <netinet/in.h>
#include <string>

namespace lagoonward {

/// How long a daemon waits at its start for an address that is not free: in use by a process that is just ending or by an
/// outgoing connection to which the system gave the port, or not assigned to the host yet. Shorter than the time that a
/// process has to end after SIGTERM.
inline constexpr Milliseconds kAddressTimeout{ 5'000 };

/// An IPv4 address and a port. Errors: InvalidSettings.
[[nodiscard]] Result<sockaddr_in>
ToSocketAddress(const std::string& aAddress, std::uint16_t aPort);

/// Opens a non-blocking socket that is bound to an address; one of type SOCK_STREAM accepts connections.
/// @param aType     SOCK_STREAM or SOCK_DGRAM
/// @param aTimeout  how long an address that is not free is tried again; the wait is logged
/// Errors: InvalidSettings, with the address and the system's reason.
[[nodiscard]] Result<UniqueFd>
OpenListenSocket(int aType, const sockaddr_in& aAddress, Milliseconds aTimeout);

} // namespace lagoonward
