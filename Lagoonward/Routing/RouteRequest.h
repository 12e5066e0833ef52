#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace lagoonward {

/// What the router must know of one request. All views must outlive the call only.
struct RouteRequest
{
  std::string_view model;          ///< Empty for a plain service's call.
  std::string_view version;        ///< The model's version; empty takes the manifest's first.
  std::string_view adapter;        ///< Empty for none.
  std::string_view adapterVersion; ///< Empty takes the manifest's first.
  std::string_view service;        ///< The plain service's name; empty for a model.

  Milliseconds firstToken{ 0 };    ///< The class's target; zero means none.
  Milliseconds betweenTokens{ 0 }; ///< The class's target; zero means none.
  int priority = 0;                ///< The class's priority; higher goes first.
  TimePoint deadline = TimePoint::max();

  bool isPlainCall = false; ///< Neither prompt nor tokens: one call, one answer.
  /// Tokens of the prompt that no endpoint can have read before; zero where that is not known.
  int freshTokens = 0;
  int promptTokens = 0;         ///< On a resumed request: prompt and tokens already relayed.
  int expectedOutputTokens = 0; ///< Tokens still to come.
  std::span<const std::uint64_t>
    prefixBlocks; ///< Hash of each whole block, each covering all before it.

  std::string_view
    onlyEndpoint; ///< Id of the one endpoint to weigh, for a planned move; else empty.
  std::span<const std::string_view> excludedEndpoints; ///< Ids that have failed this request.
  std::span<const std::string_view> excludedDomains;   ///< Failure domains that it must not go to.
  ManifestObjective objective;
};

} // namespace lagoonward
