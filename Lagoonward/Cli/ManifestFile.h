#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace lagoonward {

/// Reads and validates a manifest file. Prints each fault as a line `FILE: POINTER: MESSAGE`.
/// @return the manifest; empty if the file cannot be read or has faults
[[nodiscard]] std::optional<Manifest>
LoadManifest(const std::string& aPath, std::ostream& aErr);

} // namespace lagoonward
