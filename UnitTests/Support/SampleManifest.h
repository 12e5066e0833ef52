#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <nlohmann/json.hpp>

namespace lagoonward::testing {

/// A valid manifest with every field, as JSON for tests to modify.
[[nodiscard]] nlohmann::json
SampleManifestJson(std::string_view aMarket = "vestland");

/// The same manifest, parsed.
[[nodiscard]] Manifest
SampleManifest(std::string_view aMarket = "vestland");

} // namespace lagoonward::testing
