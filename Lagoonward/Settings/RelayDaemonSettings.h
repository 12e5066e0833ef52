#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Settings/DaemonSettings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonward {

/// Which requests wait for a free slot of an endpoint in a queue.
enum class RequestQueueing
{
  Off,   ///< None: they are sent to an endpoint or refused at once.
  Calls, ///< Those to plain services with a route that states a timeout.
  All,   ///< Those to all services with such a route.
};

/// The validated settings of `lagoonward relay`. Filled by RelaySettingsReader.
struct RelayDaemonSettings
{
  std::string name;     ///< Name of this host, sent with its orders.
  SocketAddress listen; ///< Listen address for callers.
  SocketAddress ready;  ///< Readiness endpoint for the load balancer.
  SocketAddress peer;   ///< Address for UDP and TCP traffic between daemons.
  SocketAddress metrics;
  /// Listen address for requests that other daemons forward; none if the address is empty.
  SocketAddress forward;
  std::string region;
  std::string failureDomain;
  std::vector<std::string> failureDomains; ///< All failure domains of the deployment.
  std::vector<SocketAddress> seeds;        ///< Daemons that may already run; entries may be stale.

  std::string storeUrl;
  std::string cloudUrl;
  std::string cluster = "lagoonward"; ///< Messages of daemons in other clusters are ignored.
  std::string peerKeys; ///< `ID:HEX[,ID:HEX…]`; the first key signs, all are accepted.
  LogLevel logLevel = LogLevel::Info;

  Milliseconds grace{ 8000 };             ///< From the termination signal to the forced exit.
  Milliseconds leavingNotice{ 2000 };     ///< How long new work may still reach a leaving endpoint.
  Milliseconds endpointHeartbeat{ 1000 }; ///< Interval at which endpoints renew their entries.
  Milliseconds configurationNotice{ 2000 }; ///< Time within which a configuration must be in force.
  Milliseconds leaseQuiet{
    3000
  }; ///< Orders do not move from one lease holder to another and back within this time.

  Seconds usageWindow{ 5 };    ///< Length of a usage reporting window.
  Seconds usageLateness{ 10 }; ///< Deadline for reporting a window's usage, after its end.

  double limitTolerance = 0; ///< Ratio by which clients' limits may be exceeded, over all daemons.
  double limitSlack = 0;     ///< Additional tokens by which they may be exceeded.

  double retryRatio = 0.2;   ///< Retries allowed in a window, as a ratio of the requests...
  double retrySlack = 54;    ///< ...and additional retries, over the whole deployment.
  Seconds retryWindow{ 10 }; ///< Length of the retry window.

  RequestQueueing requestQueueing = RequestQueueing::Off;
  int queuePoolSlots = 16; ///< See QueuePoolSettings::slotsPerPool.

  double memoryMegabytes = 0; ///< Memory that this process may use; zero if it is not known.
  /// Descriptors that this process may open; zero for what the system allows.
  std::size_t maximumDescriptors = 0;
};

} // namespace lagoonward
