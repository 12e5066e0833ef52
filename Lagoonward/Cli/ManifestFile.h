#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace lagoonward {

/// Reads and validates a manifest file; prints each fault as `FILE: POINTER: MESSAGE`, one a line.
/// @return nothing if the file can't be read or has faults
[[nodiscard]] std::optional<Manifest>
LoadManifest(const std::string& aPath, std::ostream& aErr);

} // namespace lagoonward
