#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One member of a JSON object, as written. The name is between its quotes, with escapes.
struct JsonMemberText
{
  std::string_view name;
  std::string_view value;
};

/// Splits the text of a JSON object into its members without parsing their values, which takes a fraction of the time of
/// parsing. Only the nesting is examined: each value must still be parsed before it is used.
/// @return nullopt if the text is not an object or its nesting is not closed
[[nodiscard]] std::optional<std::vector<JsonMemberText>>
SplitJsonObject(std::string_view aText);

/// The same for the items of an array. An empty item (between two commas) is returned as an empty text.
[[nodiscard]] std::optional<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

} // namespace lagoonward
