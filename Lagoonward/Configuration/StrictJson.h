#pragma once

#include "Lagoonward/Configuration/JsonFaults.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Deepest nesting of objects and arrays that is accepted.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses a JSON text strictly: valid UTF-8, no text after the value, no duplicate members in an
/// object, nesting up to kMaxJsonDepth. Stops at the first fault. Time and memory are in proportion to the length of the
/// text, whatever it contains.
/// @param aFaults  receives the fault
/// @return the value, or nothing if there was a fault
[[nodiscard]] std::optional<nlohmann::json>
ParseStrictJson(std::string_view aText, JsonFaults& aFaults);

/// The pointer to a member or an item below aParent; escapes `~` and `/`.
[[nodiscard]] std::string
JoinJsonPointer(std::string_view aParent, std::string_view aToken);

} // namespace lagoonward
