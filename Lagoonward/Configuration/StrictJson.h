#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One fault of a JSON document.
struct JsonFault
{
  std::string pointer; ///< JSON pointer (RFC 6901) of the value; empty for the whole document.
  std::string message; ///< Describes the fault in one short sentence.
};

using JsonFaults = std::vector<JsonFault>;

/// Deepest nesting of objects and arrays that is accepted.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses a JSON text strictly: valid UTF-8, no text after the value, no duplicate members in an
/// object, nesting up to kMaxJsonDepth.
/// @param aFaults  receives one entry for each fault
/// @return the value, or nothing if there was any fault
[[nodiscard]] std::optional<nlohmann::json>
ParseStrictJson(std::string_view aText, JsonFaults& aFaults);

/// The pointer to a member or an item below aParent; escapes `~` and `/`.
[[nodiscard]] std::string
JoinJsonPointer(std::string_view aParent, std::string_view aToken);

/// All faults in one line, for messages: `/a/b: missing; /c: not a number`.
[[nodiscard]] std::string
DescribeFaults(const JsonFaults& aFaults);

} // namespace lagoonward
