#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Relay/RelayRoutes.h"
#include "Lagoonward/Wire/HttpLimits.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonward {

/// Limits and prices for starting endpoints of a service in each failure domain.
struct ServiceScaling
{
  int minimum = 1; ///< Per failure domain, counting reclaimable and ordinary endpoints together.
  int maximum = 1; ///< Per failure domain, counted in the same way.
  Milliseconds bootTime{ 0 }; ///< From the start request to the first request served.
  /// Price of a reclaimable endpoint as a fraction of the ordinary price.
  double reclaimablePrice = 1;
  /// Price of an ordinary endpoint per second, by failure domain.
  std::map<std::string, double> prices;
};

/// Configuration of one service.
struct RelayServiceConfiguration
{
  std::string name;
  int maximumConnections = 0; ///< Limit per endpoint over all daemons; zero means no limit.
  bool isEngine = false;
  int sequences = 0; ///< Requests that one engine runs concurrently.
  /// Its endpoints can copy the state of a run to another endpoint on request.
  bool movesStreams = false;
  /// Time to copy one cached prompt token from another endpoint; zero if not supported.
  double fetchSecondsPerToken = 0;
  int tokensPerEvent = 1;                ///< Tokens per event of a stream.
  std::optional<ServiceScaling> scaling; ///< Empty if endpoints cannot be started on demand.
};

/// A complete configuration of relayed requests. Immutable once shared.
struct RelayConfiguration
{
  RelayRoutesPtr routes;
  std::vector<RelayServiceConfiguration> services;
  HttpLimits
    callerLimits; ///< What callers may send; the defaults where the operator states nothing.
  /// Accounts and priorities, for the admission and routing code that other requests use as well.
  Manifest manifest;
};

using RelayConfigurationPtr = std::shared_ptr<const RelayConfiguration>;

} // namespace lagoonward
