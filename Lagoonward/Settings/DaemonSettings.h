#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Frontend/CallReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward {

/// An IPv4 address in dotted notation and a port.
struct SocketAddress
{
  std::string address;
  std::uint16_t port = 0;
};

/// The validated settings of `lagoonward serve`. Filled by SettingsReader.
struct DaemonSettings
{
  SocketAddress listen; ///< Listen address for callers.
  SocketAddress admin;  ///< Listen address of the operators' interface.
  SocketAddress peer;   ///< Address for UDP and TCP traffic between daemons.
  std::string region;
  std::string failureDomain;
  std::string
    hostId; ///< Id of this host in the host list; derived from the peer address by default.

  std::string logUrl;
  std::string cloudUrl;
  std::string hostListUrl;
  std::string weightStoreUrl;

  std::vector<std::string> markets;   ///< Followed from startup; others once a caller names them.
  std::string cluster = "lagoonward"; ///< Messages of daemons in other clusters are ignored.
  std::string peerKeys; ///< `ID:HEX[,ID:HEX…]`; the first key signs, all are accepted.
  LogLevel logLevel = LogLevel::Info;

  unsigned callerThreads = 2;
  unsigned maximumConnections = 4096;
  std::size_t maximumBodyBytes = 4U << 20U;
  Milliseconds drainNotice{ 1000 }; ///< Time between reporting not ready and closing the listener.
  CallSettings calls;
  RunServiceSettings runs;
  MarketSettings market;
};

} // namespace lagoonward
