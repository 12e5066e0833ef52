#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <nlohmann/json.hpp>

namespace lagoonward {

/// The JSON value of a manifest. ReadManifest() restores an equal manifest from it.
[[nodiscard]] nlohmann::json
WriteManifest(const Manifest& aManifest);

} // namespace lagoonward
