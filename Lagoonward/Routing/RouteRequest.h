#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace lagoonward {

/// Input of a routing decision for one request. The views must stay valid for the duration of the call only.
struct RouteRequest
{
  std::string_view model;   ///< Empty for a plain service's call.
  std::string_view version; ///< The model's version; empty for the first one of the manifest.
  std::string_view adapter; ///< Empty for none.
  std::string_view adapterVersion; ///< Empty for the first one of the manifest.
  std::string_view service;        ///< The plain service's name; empty for a model.
  /// Only endpoints of the service that run this software version are considered; empty for all.
  std::string_view softwareVersion;

  Milliseconds firstToken{ 0 }; ///< The class's target for the time to first token; zero for none.
  /// The class's target for the time between tokens; zero for none.
  Milliseconds betweenTokens{ 0 };
  int priority = 0; ///< The class's priority; higher values are served first.
  TimePoint deadline = TimePoint::max();

  bool isPlainCall = false; ///< A call with one response, without prompt or tokens.
  /// Prompt tokens that no endpoint can have cached; zero if unknown.
  int freshTokens = 0;
  /// Prompt tokens, plus the tokens already relayed if the request is resumed.
  int promptTokens = 0;
  int expectedOutputTokens = 0; ///< Expected remaining output tokens.
  /// Hash of each complete block; each hash covers all blocks before it.
  std::span<const std::uint64_t> prefixBlocks;

  /// Id of the only endpoint to consider, for a planned move; empty for all.
  std::string_view onlyEndpoint;
  /// Ids of endpoints that must not be chosen, for example because they failed this request.
  std::span<const std::string_view> excludedEndpoints;
  std::span<const std::string_view> excludedDomains; ///< Failure domains that must not be chosen.
  ManifestObjective objective;
};

} // namespace lagoonward
