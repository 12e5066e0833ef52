#pragma once

#include <string>
#include <string_view>

namespace lagoonward {

/// Whether the text needs no escaping in JSON: printable ASCII without quotes and backslashes.
[[nodiscard]] bool
IsPlainJsonText(std::string_view aText);

/// Appends the text as a JSON string, quotes included. Bytes that are not valid UTF-8 become
/// replacement characters. Plain text (see IsPlainJsonText()) is copied without conversion.
void
AppendJsonText(std::string& aTarget, std::string_view aText);

} // namespace lagoonward
