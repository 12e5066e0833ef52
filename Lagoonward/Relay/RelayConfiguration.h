#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Relay/RelayRoutes.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonward {

/// How many endpoints of a service may be ordered in each failure domain, and at what price.
struct ServiceScaling
{
  int minimum = 1;             ///< Per failure domain, reclaimable and ordinary ones together.
  int maximum = 1;             ///< The same.
  Milliseconds bootTime{ 0 };  ///< From the order to the first request served.
  double reclaimablePrice = 1; ///< Of the ordinary price.
  std::map<std::string, double> prices; ///< Of an ordinary endpoint and second, by failure domain.
};

/// What the configuration says of one service.
struct RelayServiceFacts
{
  std::string name;
  int maximumConnections = 0; ///< Of one endpoint, from all daemons together; zero means none.
  bool isEngine = false;
  int sequences = 0;         ///< Requests that one engine runs at once.
  bool movesStreams = false; ///< Its endpoints copy the memory of a run to another one on demand.
  double fetchSecondsPerToken =
    0; ///< Time in which one endpoint copies a kept prompt token from another; zero if it cannot.
  int eventTokens = 1;                   ///< Tokens in one event of a stream.
  std::optional<ServiceScaling> scaling; ///< Nothing where endpoints cannot be ordered.
};

/// One whole configuration of relayed requests, as in force.
struct RelayConfiguration
{
  RelayRoutesPtr routes;
  std::vector<RelayServiceFacts> services;
  Manifest manifest; ///< Accounts and priorities, for the decisions shared with other requests.
};

using RelayConfigurationPtr = std::shared_ptr<const RelayConfiguration>;

} // namespace lagoonward
