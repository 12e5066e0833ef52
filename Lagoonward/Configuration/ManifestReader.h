#pragma once

#include "Lagoonward/Configuration/JsonReader.h"
#include "Lagoonward/Configuration/Manifest.h"

#include <optional>

namespace lagoonward {

/// One fault of a manifest: its JSON pointer and a message.
using ManifestFault = JsonFault;

/// The result of reading a manifest: the manifest, or all of its faults.
struct ManifestReadResult
{
  std::optional<Manifest> manifest; ///< Set exactly when `faults` is empty.
  JsonFaults faults;
};

/// Largest size of a manifest in bytes.
inline constexpr std::size_t kMaxManifestBytes = 1'048'576;

/// Reads and validates the JSON text of a manifest. Reports all faults at once: syntax, UTF-8,
/// duplicate members, unknown or missing fields, types, ranges, duplicate names and contradictory
/// references. Every reader of a configuration stream decides by exactly these rules whether to skip a
/// record, so changing them changes the record format (docs/design/configuration-order.md).
[[nodiscard]] ManifestReadResult
ReadManifest(std::string_view aText);

/// As above, for a parsed value.
/// @param aPointer  JSON pointer to the manifest in its document; empty for the root
[[nodiscard]] ManifestReadResult
ReadManifest(const nlohmann::json& aValue, std::string_view aPointer);

} // namespace lagoonward
