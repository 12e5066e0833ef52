#pragma once

#include "Lagoonward/Configuration/JsonReader.h"
#include "Lagoonward/Configuration/Manifest.h"

#include <optional>

namespace lagoonward {

/// One fault of a manifest: its JSON pointer and what is wrong there.
using ManifestFault = JsonFault;

/// What reading a manifest gave: the manifest, or every fault it has.
struct ManifestReading
{
  std::optional<Manifest> manifest; ///< Set exactly when `faults` is empty.
  JsonFaults faults;
};

/// Largest manifest that is read, in bytes.
inline constexpr std::size_t kMaxManifestBytes = 1'048'576;

/// Reads and validates the JSON text of a manifest. Reports all faults at once: syntax, UTF-8,
/// members given twice, unknown or missing fields, types, ranges, repeated names and references
/// that contradict each other. Every reader of a configuration stream skips a record by exactly
/// these rules, so a change to them is a change of the record format
/// (docs/design/configuration-order.md).
[[nodiscard]] ManifestReading
ReadManifest(std::string_view aText);

/// As above, for a value that is already parsed.
/// @param aPointer  where the manifest stands in its document; empty for the root
[[nodiscard]] ManifestReading
ReadManifest(const nlohmann::json& aValue, std::string_view aPointer);

} // namespace lagoonward
