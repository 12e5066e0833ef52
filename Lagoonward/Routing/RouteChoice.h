#pragma once

#include "Lagoonward/Routing/RoutingTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonward {

/// The cost terms of one endpoint's score, each in the currency of the hosts' prices.
struct RouteCost
{
  double prefill = 0; ///< Price of the engine time for the uncached part of the prompt.
  double decode = 0;  ///< Price of the engine time for the output.
  double miss = 0; ///< Probability of missing the class's latency targets times the cost of a miss.
  double reclaim = 0; ///< Expected cost of recomputation in case the host is reclaimed.
  /// Cost of prompt tokens that another endpoint has cached and this one has not.
  double recompute = 0;
  /// Negative: what later requests save if the prefix is cached at its home endpoint.
  double locality = 0;
  double latency = 0;   ///< Cost of the response time; see RoutingSettings::latencyWeight.
  double slowStart = 0; ///< Surcharge of a new endpoint.

  [[nodiscard]] double Total() const
  {
    return this->prefill + this->decode + this->miss + this->reclaim + this->recompute +
           this->locality + this->latency + this->slowStart;
  }
};

/// Result of Router::Choose(): the endpoint for a request, its cost terms and predictions.
struct RouteChoice
{
  RoutingTablePtr table;      ///< Keeps `endpoint` valid.
  std::uint32_t endpoint = 0; ///< Index into the table's targets.
  RouteCost cost;
  double firstTokenSeconds = 0;    ///< Predicted.
  double betweenTokensSeconds = 0; ///< Predicted.
  int priority = 0;                ///< Priority to send to the engine; see EnginePriority().
  int cachedTokens = 0; ///< Prompt tokens expected in the endpoint's cache, including fetched ones.
  int scoredEndpoints = 0; ///< Endpoints that were eligible and scored.
  /// Index of the endpoint from which the cached prefix is to be fetched, if any; `cachedTokens` includes it.
  std::optional<std::uint32_t> fetchFrom;

  [[nodiscard]] const RoutingTarget& Target() const
  {
    return this->table->Targets()[this->endpoint];
  }

  /// Describes the choice in one line, for logs and for `explain`.
  [[nodiscard]] std::string Describe() const;
};

} // namespace lagoonward
