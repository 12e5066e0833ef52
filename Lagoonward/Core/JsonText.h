#pragma once

#include <string>
#include <string_view>

namespace lagoonward {

/// Whether the text stands in JSON as it is: printable ASCII without quotes and backslashes.
[[nodiscard]] bool
IsPlainJsonText(std::string_view aText);

/// Appends the text as a JSON string, quotes included. Bytes that are no UTF-8 become replacement
/// characters. Fast for plain text.
void
AppendJsonText(std::string& aTarget, std::string_view aText);

} // namespace lagoonward
