#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lagoonward {

/// A text for a message or a log line: whole if it has at most aMaximumBytes bytes, else its beginning and how many
/// bytes were left out, `abc... (1234 more bytes)`. Does not cut within a UTF-8 character.
[[nodiscard]] std::string
ShortenText(std::string_view aText, std::size_t aMaximumBytes);

} // namespace lagoonward
