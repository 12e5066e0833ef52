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
  std::string service;  ///< For plain services' calls; then only `perSecond` counts.
  double perSecond = 1; ///< Requests, over the whole deployment.
  int documents = 0; ///< Long documents in use at any time; zero: prompts share the preamble only.
  int documentTokensLow = 0;
  int documentTokensHigh = 0;
  int usesPerDocument = 8;    ///< Requests about one document before another takes its place.
  int questionTokensLow = 50; ///< What is asked behind the document.
  int questionTokensHigh = 300;
  int outputLow = 40;
  int outputHigh = 80;
};

/// A deployment as the bench plays it.
struct Deployment
{
  std::string name;
  Manifest manifest;
  std::vector<EngineSpec> engines;
  int serviceHosts = 4;
  int daemons = 8;
  double scale = 1;     ///< Real size over the size played.
  double seconds = 300; ///< Length of the arrivals.
  std::vector<TrafficSpec> traffic;
};

/// "utslipp", "cantabrico" or "plan"; nothing for another name.
[[nodiscard]] std::optional<Deployment>
MakeDeployment(std::string_view aName);

} // namespace lagoonward::bench
