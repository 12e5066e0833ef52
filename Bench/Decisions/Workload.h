#pragma once

#include "Bench/Decisions/Deployment.h"
#include "Bench/Decisions/Random.h"
#include "Bench/Decisions/Scenario.h"

#include <memory>
#include <vector>

namespace lagoonward::bench {

/// One request of a caller.
struct WorkItem
{
  double at = 0;              ///< Seconds from the start.
  std::size_t classIndex = 0; ///< Index into the manifest's classes.
  std::size_t client = 0;     ///< Index into the manifest's clients.
  std::size_t daemon = 0;     ///< Index of the daemon that receives it.
  std::string_view service;   ///< Name of a plain service; empty for a model request.
  bool repeatable = true;     ///< Whether it is safe to run it more than once.
  int promptTokens = 0;
  int outputTokens = 0;
  int expectedOutput = 0; ///< Output tokens that daemons assume: the mean of its kind of traffic.
  std::vector<std::uint64_t> blocks; ///< Hashes of the prompt's prefix blocks.
};

/// Generates all requests of one run, ordered by time. They depend only on the arguments, so that every policy gets
/// the same requests for the same seed.
[[nodiscard]] std::vector<WorkItem>
MakeWorkload(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed);

} // namespace lagoonward::bench
