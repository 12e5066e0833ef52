#pragma once

#include "Bench/Decisions/EngineFake.h"
#include "Lagoonward/Configuration/Manifest.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonward::bench {

/// One kind of traffic.
struct TrafficSpec
{
  std::string className;
  std::string service; ///< Name of a plain service, for calls to it; then only `perSecond` is used.
  double perSecond = 1; ///< Requests per second in the deployment.
  int documents = 0;    ///< Documents in use at any time; zero: prompts share only the preamble.
  int documentTokensLow = 0;
  int documentTokensHigh = 0;
  int usesPerDocument = 8;    ///< Mean number of requests per document before it is replaced.
  int questionTokensLow = 50; ///< Length of the question after the document.
  int questionTokensHigh = 300;
  int outputLow = 40;
  int outputHigh = 80;
};

/// A simulated deployment.
struct Deployment
{
  std::string name;
  Manifest manifest;
  std::vector<EngineSpec> engines;
  int serviceHosts = 4;
  int daemons = 8;
  double scale = 1;     ///< Ratio of the real size to the simulated size.
  double seconds = 300; ///< Duration of the arrivals.
  std::vector<TrafficSpec> traffic;
};

/// Creates the deployment "utslipp", "cantabrico" or "plan".
/// @return nothing for any other name
[[nodiscard]] std::optional<Deployment>
MakeDeployment(std::string_view aName);

} // namespace lagoonward::bench
