#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <nlohmann/json.hpp>

namespace lagoonward::testing {

/// A valid manifest with every field, for tests to change.
[[nodiscard]] nlohmann::json
SampleManifestJson(std::string_view aMarket = "vestland");

/// The same, as read.
[[nodiscard]] Manifest
SampleManifest(std::string_view aMarket = "vestland");

} // namespace lagoonward::testing
