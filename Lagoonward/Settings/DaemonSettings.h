#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Frontend/CallReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward {

/// An IP number and a port.
struct SocketAddress
{
  std::string address;
  std::uint16_t port = 0;
};

/// Everything that `lagoonward serve` is told, checked. SettingsReader fills it.
struct DaemonSettings
{
  SocketAddress listen; ///< For callers.
  SocketAddress admin;  ///< For operators.
  SocketAddress peer;   ///< UDP and TCP between daemons.
  std::string region;
  std::string failureDomain;
  std::string hostId; ///< This host's id in the host list; by default made from the peer address.

  std::string logUrl;
  std::string cloudUrl;
  std::string hostListUrl;
  std::string weightStoreUrl;

  std::vector<std::string> markets;   ///< Followed from the start; others as callers name them.
  std::string cluster = "lagoonward"; ///< Daemons of other clusters are ignored.
  std::string peerKeys;               ///< `ID:HEX[,ID:HEX…]`; the first signs, all are accepted.
  LogLevel logLevel = LogLevel::Info;

  unsigned callerThreads = 2;
  unsigned maximumConnections = 4096;
  std::size_t maximumBodyBytes = 4U << 20U;
  Milliseconds drainNotice{ 1000 }; ///< Time between turning unready and ceasing to listen.
  CallSettings calls;
  RunServiceSettings runs;
  MarketSettings market;
};

} // namespace lagoonward
