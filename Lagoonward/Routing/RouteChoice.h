#pragma once

#include "Lagoonward/Routing/RoutingTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonward {

/// The terms of one endpoint's score, each in money.
struct RouteCost
{
  double prefill = 0;   ///< Engine time for the uncached part of the prompt.
  double decode = 0;    ///< Engine time for the answer.
  double miss = 0;      ///< Chance of missing the class's targets times what a miss is worth.
  double reclaim = 0;   ///< Expected recomputation if the host is reclaimed.
  double recompute = 0; ///< Prompt tokens that another endpoint has cached and this one has not.
  double locality = 0;  ///< Negative: what later requests save by finding the prefix at its home.
  double latency = 0; ///< The answer time, where RoutingSettings::latencyWorth sets a price on it.
  double slowStart = 0; ///< Surcharge of an endpoint that is new.

  [[nodiscard]] double Total() const
  {
    return this->prefill + this->decode + this->miss + this->reclaim + this->recompute +
           this->locality + this->latency + this->slowStart;
  }
};

/// Where a request goes and why.
struct RouteChoice
{
  RoutingTablePtr table;      ///< Keeps `endpoint` valid.
  std::uint32_t endpoint = 0; ///< Index into the table's targets.
  RouteCost cost;
  double firstTokenSeconds = 0;    ///< Predicted.
  double betweenTokensSeconds = 0; ///< Predicted.
  int priority = 0;                ///< To be sent to the engine; see EnginePriority().
  int cachedTokens = 0;            ///< Part of the prompt that is expected in the endpoint's cache.
  int scoredEndpoints = 0;              ///< Endpoints that were scored.
  /// Index of an endpoint from which the kept beginning of the prompt is to be fetched; `cachedTokens` counts it.
  std::optional<std::uint32_t> fetchFrom;

  [[nodiscard]] const RoutingTarget& Target() const
  {
    return this->table->Targets()[this->endpoint];
  }

  /// One sentence for the log line and for `explain`.
  [[nodiscard]] std::string Describe() const;
};

} // namespace lagoonward
