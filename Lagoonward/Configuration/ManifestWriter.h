#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <nlohmann/json.hpp>

namespace lagoonward {

/// The JSON value of a manifest; ReadManifest() gives an equal manifest back.
[[nodiscard]] nlohmann::json
WriteManifest(const Manifest& aManifest);

} // namespace lagoonward
