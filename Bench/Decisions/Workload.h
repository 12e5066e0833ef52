#pragma once

#include "Bench/Decisions/Deployment.h"
#include "Bench/Decisions/Random.h"
#include "Bench/Decisions/Scenario.h"

#include <memory>
#include <vector>

namespace lagoonward::bench {

/// One request as a caller sends it.
struct WorkItem
{
  double at = 0;              ///< Seconds from the start.
  std::size_t classIndex = 0; ///< Into the manifest's classes.
  std::size_t client = 0;     ///< Into the manifest's clients.
  std::size_t daemon = 0;     ///< Where the balancer sends it.
  std::string_view service;   ///< Empty for a model.
  bool repeatable = true;     ///< Whether it may run twice.
  int promptTokens = 0;
  int outputTokens = 0;
  int expectedOutput = 0; ///< What a daemon may assume: its class's average.
  std::vector<std::uint64_t> blocks;
};

/// All requests of one run, by time. The same seed gives the same requests under every policy.
[[nodiscard]] std::vector<WorkItem>
MakeWorkload(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed);

} // namespace lagoonward::bench
