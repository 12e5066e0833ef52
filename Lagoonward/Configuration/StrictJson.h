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
  std::string message; ///< What is wrong with it, one short sentence.
};

using JsonFaults = std::vector<JsonFault>;

/// Deepest nesting of objects and arrays that is read.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses a JSON text strictly: valid UTF-8, nothing behind the value, no member twice in one
/// object, no deeper than kMaxJsonDepth.
/// @param aFaults  gets one entry for each fault found
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
